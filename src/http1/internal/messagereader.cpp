#include "http1/messagereader.h"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <utility>

namespace cardamomlift::http1 {

namespace {

namespace beast = boost::beast;

using beast::error_code;
using beast::string_view;

std::string_view toView(string_view text)
{
    return {text.data(), text.size()};
}

/// Beast's parser for requests or responses. Its callbacks store the parsed parts in plain members.
template<bool isRequest>
class Parser : public beast::http::basic_parser<isRequest>
{
public:
    RequestHead request;
    ResponseHead response;
    std::string body;
    bool hasUnsupportedCoding = false;

    Fields &fields()
    {
        return isRequest ? request.fields : response.fields;
    }

protected:
    void on_request_impl(beast::http::verb, string_view method, string_view target, int version, error_code &) override
    {
        request.method = toView(method);
        request.target = toView(target);
        request.version = version;
    }

    void on_response_impl(int status, string_view reason, int version, error_code &) override
    {
        response.status = status;
        response.reason = toView(reason);
        response.version = version;
    }

    void on_field_impl(beast::http::field name, string_view nameText, string_view value, error_code &) override
    {
        if (name == beast::http::field::transfer_encoding && !equalsIgnoreCase(toView(value), "chunked")) {
            hasUnsupportedCoding = true;
        }
        fields().add(toView(nameText), toView(value));
    }

    void on_header_impl(error_code &) override
    {
    }

    void on_body_init_impl(const boost::optional<std::uint64_t> &, error_code &) override
    {
    }

    std::size_t on_body_impl(string_view data, error_code &) override
    {
        body.append(data.data(), data.size());
        return data.size();
    }

    void on_chunk_header_impl(std::uint64_t, string_view, error_code &) override
    {
    }

    std::size_t on_chunk_body_impl(std::uint64_t, string_view data, error_code &) override
    {
        body.append(data.data(), data.size());
        return data.size();
    }

    void on_finish_impl(error_code &) override
    {
    }
};

/// The part of a reader that is the same for requests and responses.
template<bool isRequest, class Base>
class ReaderImpl : public Base
{
public:
    explicit ReaderImpl(const ReadLimits &limits)
        : maxPendingBytes_(limits.headerBytes)
    {
        parser_.eager(true);
        parser_.header_limit(static_cast<std::uint32_t>(limits.headerBytes));
        parser_.body_limit(limits.bodyBytes);
    }

    std::size_t feed(std::string_view bytes) override
    {
        if (error_ != ReadError::None || parser_.is_done() || bytes.empty()) {
            return 0;
        }
        started_ = true;
        if (pending_.empty()) {
            const std::size_t used = parse(bytes);
            if (needsMoreBytes()) {
                pending_ = bytes.substr(used);
                checkPending();
                return bytes.size();
            }
            return used;
        }
        // NOTE Beast expects the bytes that it has not consumed to be passed again, followed by the new ones.
        const std::size_t before = pending_.size();
        pending_ += bytes;
        const std::size_t used = parse(pending_);
        if (needsMoreBytes()) {
            pending_.erase(0, used);
            checkPending();
            return bytes.size();
        }
        pending_.clear();
        pending_.shrink_to_fit();
        return used > before ? used - before : 0;
    }

    void finish() override
    {
        if (error_ != ReadError::None || parser_.is_done()) {
            return;
        }
        error_code code;
        if (!parser_.got_some()) {
            error_ = ReadError::Truncated;
            return;
        }
        parser_.put_eof(code);
        if (code || !parser_.is_done()) {
            error_ = ReadError::Truncated;
        }
    }

    bool isHeadComplete() const override
    {
        return parser_.is_header_done() && error_ != ReadError::Malformed && error_ != ReadError::HeaderTooLarge;
    }

    bool isComplete() const override
    {
        return error_ == ReadError::None && parser_.is_done();
    }

    ReadError error() const override
    {
        return error_;
    }

    bool hasStarted() const override
    {
        return started_;
    }

    std::string takeBody() override
    {
        return std::exchange(parser_.body, {});
    }

    std::size_t heldBytes() const override
    {
        const Fields &fields = isRequest ? parser_.request.fields : parser_.response.fields;
        return sizeof(*this) + fields.heldBytes() + pending_.capacity() + parser_.body.capacity() + parser_.request.target.capacity();
    }

    bool keepsAlive() const override
    {
        return parser_.keep_alive();
    }

protected:
    Parser<isRequest> parser_;

private:
    bool needsMoreBytes() const
    {
        return error_ == ReadError::None && !parser_.is_done();
    }

    // NOTE Beast bounds heads and bodies, but neither the line before a chunk nor what follows the last one.
    void checkPending()
    {
        if (pending_.size() > maxPendingBytes_) {
            error_ = parser_.is_header_done() ? ReadError::Malformed : ReadError::HeaderTooLarge;
        }
    }

    std::size_t parse(std::string_view bytes)
    {
        std::size_t used = 0;
        while (used < bytes.size() && error_ == ReadError::None && !parser_.is_done()) {
            error_code code;
            const std::size_t taken = parser_.put(boost::asio::const_buffer(bytes.data() + used, bytes.size() - used), code);
            used += taken;
            if (code == beast::http::error::need_more) {
                break;
            }
            if (code) {
                error_ = toReadError(code);
                break;
            }
            if (parser_.is_header_done()) {
                checkHead();
            }
            if (taken == 0) {
                break;
            }
        }
        return used;
    }

    void checkHead()
    {
        const bool hasOneHost = !isRequest || parser_.request.fields.count("Host") == 1;
        const bool hasBadRequestLine = isRequest && (parser_.request.method == "CONNECT" || parser_.request.target.empty());
        if (parser_.hasUnsupportedCoding || !hasOneHost || hasBadRequestLine || parser_.upgrade()) {
            error_ = ReadError::Malformed;
        }
    }

    static ReadError toReadError(const error_code &code)
    {
        if (code == beast::http::error::header_limit) {
            return ReadError::HeaderTooLarge;
        }
        return code == beast::http::error::body_limit ? ReadError::BodyTooLarge : ReadError::Malformed;
    }

    std::size_t maxPendingBytes_;
    std::string pending_; ///< Bytes that Beast can consume only together with those that follow.
    ReadError error_ = ReadError::None;
    bool started_ = false;
};

class RequestReaderImpl : public ReaderImpl<true, RequestReader>
{
public:
    using ReaderImpl::ReaderImpl;

    RequestHead &head() override
    {
        return parser_.request;
    }
};

class ResponseReaderImpl : public ReaderImpl<false, ResponseReader>
{
public:
    ResponseReaderImpl(const ReadLimits &limits, bool isHead)
        : ReaderImpl(limits)
    {
        parser_.skip(isHead);
    }

    ResponseHead &head() override
    {
        return parser_.response;
    }
};

} // namespace

std::unique_ptr<RequestReader> RequestReader::create(const ReadLimits &limits)
{
    return std::make_unique<RequestReaderImpl>(limits);
}

std::unique_ptr<ResponseReader> ResponseReader::create(const ReadLimits &limits, bool isHead)
{
    return std::make_unique<ResponseReaderImpl>(limits, isHead);
}

} // namespace cardamomlift::http1
