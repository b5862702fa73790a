#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cardamomlift::gateway {

/// A validated chat completion request.
struct ChatRequest {
    std::string model;
    std::string messagesJson;
    bool stream = false;
    std::optional<std::int64_t> maxTokens;
    std::optional<std::uint64_t> seed;
    std::uint64_t prefixHash = 0; ///< Of the first message: requests that share it share a cached prompt prefix.
    std::int64_t estimatedPromptTokens = 0;
};

/// Why a body is not a valid chat completion request.
struct ChatRequestError {
    bool isJson = true; ///< False if the body is not JSON at all.
    std::string message;
};

/// Parses the body of POST /v1/chat/completions. Sets @p error and returns empty if the body is not valid.
std::optional<ChatRequest> readChatRequest(std::string_view body, ChatRequestError &error);

} // namespace cardamomlift::gateway
