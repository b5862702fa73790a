#pragma once

#include "support/fleet.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cardamomlift::test {

/// One streamed answer of a test, read over as many connections as it takes.
struct StreamedAnswer {
    std::string content; ///< Of the prompt.
    int maxTokens = 0;
    std::string key = CoOpKey;
    TestCallPtr call; ///< The connection it is read from now.
    std::vector<std::pair<std::uint64_t, std::string>> earlier; ///< Tokens of connections before.

    std::string requestId() const;
    /// All tokens so far, in the order they came.
    std::vector<std::pair<std::uint64_t, std::string>> tokens() const;
    /// Empty if the answer is whole and each token came once and in order; else what is wrong.
    std::string fault() const;
};

/// Starts @p count streams at entry VM @p entry, each with a prompt of its own.
std::vector<StreamedAnswer> startStreams(Fleet &fleet, const std::string &entry, int count, int maxTokens);
/// Waits until each answer has at least @p tokens tokens.
void waitTokens(Fleet &fleet, const std::vector<StreamedAnswer> &answers, std::size_t tokens);
/// The documented way back: GET /v1/requests/{id} with the last event seen.
http::ClientRequest resumeRequest(Fleet &fleet, const std::string &entry, const StreamedAnswer &answer);
/// Resumes @p answers at the @p entries in turn, as a caller does: again after a 503, until each has ended.
void resumeAll(Fleet &fleet, std::vector<StreamedAnswer> &answers, const std::vector<std::string> &entries);
/// One line for each answer that is not whole.
std::string faultsOf(const std::vector<StreamedAnswer> &answers);

} // namespace cardamomlift::test
