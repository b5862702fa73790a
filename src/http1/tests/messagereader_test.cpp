#include "http1/messagereader.h"

#include <gtest/gtest.h>

namespace cardamomlift::http1 {

namespace {

const ReadLimits Limits{1024, 4096};

struct RequestCase {
    std::string name;
    std::string bytes;
    ReadError error;
};

// NOLINTNEXTLINE(readability-identifier-naming): GoogleTest looks for this name.
void PrintTo(const RequestCase &value, std::ostream *out)
{
    *out << value.name;
}

/// Requests that are ambiguous, too large, unsupported (CONNECT) or not HTTP/1.1.
class RejectedRequest : public testing::TestWithParam<RequestCase>
{
};

TEST_P(RejectedRequest, IsRejectedWholeAndByteByByte)
{
    const auto whole = RequestReader::create(Limits);
    whole->feed(GetParam().bytes);
    EXPECT_EQ(whole->error(), GetParam().error);
    EXPECT_FALSE(whole->isComplete());
    const auto byteByByte = RequestReader::create(Limits);
    for (const char c : GetParam().bytes) {
        byteByByte->feed(std::string_view(&c, 1));
    }
    // A bare line feed does not end a line for Beast, which then waits for more bytes; the header timeout ends such a request.
    EXPECT_FALSE(byteByByte->isHeadComplete() && byteByByte->error() == ReadError::None);
    EXPECT_FALSE(byteByByte->isComplete());
}

const std::string SmuggledRequest = "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(Raw,
    RejectedRequest,
    testing::Values(RequestCase{"lengthAndChunked",
                        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + SmuggledRequest,
                        ReadError::Malformed},
        RequestCase{"chunkedAndLength",
            "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n" + SmuggledRequest,
            ReadError::Malformed},
        RequestCase{"twoLengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", ReadError::Malformed},
        RequestCase{
            "twoCodings", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ReadError::Malformed},
        RequestCase{"unknownCoding", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n", ReadError::Malformed},
        RequestCase{"codingList", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", ReadError::Malformed},
        RequestCase{"codingWithSpace", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n", ReadError::Malformed},
        RequestCase{"negativeLength", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n", ReadError::Malformed},
        RequestCase{"signedLength", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +4\r\n\r\nabcd", ReadError::Malformed},
        RequestCase{"noHost", "GET / HTTP/1.1\r\n\r\n", ReadError::Malformed},
        RequestCase{"twoHosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", ReadError::Malformed},
        RequestCase{"bareLineFeed", "GET / HTTP/1.1\nHost: a\n\n", ReadError::Malformed},
        RequestCase{"badChunkSize", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n\r\n", ReadError::Malformed},
        RequestCase{"connect", "CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n", ReadError::Malformed},
        RequestCase{"noHttp", "\x16\x03\x01\x02", ReadError::Malformed},
        RequestCase{"longHeader", "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(2000, 'x') + "\r\n\r\n", ReadError::HeaderTooLarge},
        RequestCase{"longBody", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n" + std::string(5000, 'x'), ReadError::BodyTooLarge},
        RequestCase{
            "longChunks", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1388\r\n" + std::string(5000, 'x'), ReadError::BodyTooLarge}),
    [](const auto &info) { return info.param.name; });

TEST(RequestReader, KeepsTargetAndFieldsUnchanged)
{
    const auto reader = RequestReader::create(Limits);
    const std::string bytes = "POST /a%2Fb//c?q=%20 HTTP/1.1\r\nHost: a\r\nX-Own: Value,  two\r\nContent-Length: 3\r\n\r\nabc";
    EXPECT_EQ(reader->feed(bytes + SmuggledRequest), bytes.size()) << "what follows belongs to the next request";
    ASSERT_TRUE(reader->isComplete());
    EXPECT_EQ(reader->head().target, "/a%2Fb//c?q=%20");
    EXPECT_EQ(reader->head().fields.get("x-own"), "Value,  two");
    EXPECT_EQ(reader->takeBody(), "abc");
    EXPECT_TRUE(reader->keepsAlive());
}

TEST(RequestReader, ReadsChunksWithExtensionsByteByByte)
{
    const auto reader = RequestReader::create(Limits);
    const std::string bytes = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3;ext=1\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    std::string body;
    for (const char c : bytes) {
        EXPECT_EQ(reader->feed(std::string_view(&c, 1)), 1U);
        body += reader->takeBody();
    }
    EXPECT_TRUE(reader->isComplete());
    EXPECT_EQ(body, "abcde");
}

TEST(ResponseReader, ABodyWithoutLengthIsCompleteOnlyAfterAnOrderlyClose)
{
    const auto reader = ResponseReader::create(Limits, false);
    reader->feed("HTTP/1.1 200 OK\r\n\r\npart");
    EXPECT_TRUE(reader->isHeadComplete());
    EXPECT_FALSE(reader->isComplete());
    reader->finish();
    EXPECT_TRUE(reader->isComplete());
    EXPECT_FALSE(reader->keepsAlive());
}

TEST(ResponseReader, AConnectionThatEndsWithinTheBodyTruncatesIt)
{
    for (const std::string head : {"Content-Length: 10\r\n\r\npart", "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"}) {
        const auto reader = ResponseReader::create(Limits, false);
        reader->feed("HTTP/1.1 200 OK\r\n" + head);
        reader->finish();
        EXPECT_EQ(reader->error(), ReadError::Truncated) << head;
        EXPECT_FALSE(reader->isComplete());
    }
}

TEST(ResponseReader, AResponseToHeadHasNoBody)
{
    const auto reader = ResponseReader::create(Limits, true);
    reader->feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
    EXPECT_TRUE(reader->isComplete());
}

TEST(Fields, HopByHopFieldsAreTheStandardOnesAndThoseListedInConnection)
{
    EXPECT_TRUE(isHopByHopField("Keep-Alive", ""));
    EXPECT_TRUE(isHopByHopField("TRANSFER-ENCODING", ""));
    EXPECT_TRUE(isHopByHopField("X-Hop", "close, x-hop"));
    EXPECT_FALSE(isHopByHopField("X-Other", "close, x-hop"));
}

} // namespace

} // namespace cardamomlift::http1
