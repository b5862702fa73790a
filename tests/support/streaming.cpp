#include "support/streaming.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

namespace cardamomlift::test {

namespace {

constexpr int MostRounds = 40;
constexpr int ServiceUnavailable = 503;

bool isBusy(const StreamedAnswer &answer)
{
    return answer.call->status == ServiceUnavailable || answer.call->status == 0;
}

} // namespace

std::string StreamedAnswer::requestId() const
{
    return std::string(http::headerValue(call->headers, "X-Request-Id"));
}

std::vector<std::pair<std::uint64_t, std::string>> StreamedAnswer::tokens() const
{
    auto all = earlier;
    const auto now = call->tokens();
    all.insert(all.end(), now.begin(), now.end());
    return all;
}

std::string StreamedAnswer::fault() const
{
    if (!call->isWhole()) {
        return fmt::format("not whole: status {} {} {}", call->status, call->result.error, call->body.substr(0, 200));
    }
    const auto expected = Fleet::expectedTokens(content, 7, maxTokens);
    const auto got = tokens();
    for (std::size_t i = 0; i < std::min(expected.size(), got.size()); i++) {
        if (got[i].first != i || got[i].second != expected[i]) {
            return fmt::format("token {} came as {}\"{}\", not \"{}\"", i, got[i].first, got[i].second, expected[i]);
        }
    }
    return got.size() == expected.size() ? std::string() : fmt::format("{} tokens, not {}", got.size(), expected.size());
}

std::vector<StreamedAnswer> startStreams(Fleet &fleet, const std::string &entry, int count, int maxTokens)
{
    std::vector<StreamedAnswer> answers;
    for (int i = 0; i < count; i++) {
        StreamedAnswer answer;
        answer.content = fmt::format("prompt {} at {}", i, entry);
        answer.maxTokens = maxTokens;
        answer.call = fleet.caller.start(fleet.chat(entry, answer.content, maxTokens));
        answers.push_back(std::move(answer));
    }
    return answers;
}

void waitTokens(Fleet &fleet, const std::vector<StreamedAnswer> &answers, std::size_t tokens)
{
    for (const StreamedAnswer &answer : answers) {
        fleet.caller.waitUntil([&] { return answer.call->ended || answer.call->tokens().size() >= tokens; }, "tokens");
        ASSERT_EQ(answer.call->status, 200) << answer.call->body;
    }
}

http::ClientRequest resumeRequest(Fleet &fleet, const std::string &entry, const StreamedAnswer &answer)
{
    const auto tokens = answer.tokens();
    http::ClientRequest request;
    request.url = fmt::format("http://127.0.0.1:{}/v1/requests/{}", fleet.processes[entry]->port("callers"), answer.requestId());
    request.headers["Authorization"] = "Bearer " + answer.key;
    if (!tokens.empty()) {
        request.headers["Last-Event-ID"] = std::to_string(tokens.back().first);
    }
    return request;
}

void resumeAll(Fleet &fleet, std::vector<StreamedAnswer> &answers, const std::vector<std::string> &entries)
{
    std::vector<http::ClientRequest> requests;
    for (std::size_t i = 0; i < answers.size(); i++) {
        requests.push_back(resumeRequest(fleet, entries[i % entries.size()], answers[i]));
        answers[i].earlier = answers[i].tokens();
        answers[i].call = fleet.caller.start(requests.back());
    }
    for (int round = 0; round < MostRounds; round++) {
        fleet.caller.waitUntil(
            [&] { return std::all_of(answers.begin(), answers.end(), [](const auto &answer) { return answer.call->ended; }); }, "the resumed answers");
        bool again = false;
        for (std::size_t i = 0; i < answers.size(); i++) {
            if (isBusy(answers[i])) {
                again = true;
                answers[i].call = fleet.caller.start(requests[i]);
            }
        }
        if (!again) {
            return;
        }
    }
}

std::string faultsOf(const std::vector<StreamedAnswer> &answers)
{
    std::string faults;
    for (const StreamedAnswer &answer : answers) {
        const std::string fault = answer.fault();
        if (!fault.empty()) {
            faults += answer.content + ": " + fault + "\n";
        }
    }
    return faults;
}

} // namespace cardamomlift::test
