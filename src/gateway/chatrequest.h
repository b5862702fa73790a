#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cardamomlift::gateway {

/// A chat completion request, checked.
struct ChatRequest {
    std::string model;
    std::string messagesJson;
    bool stream = false;
    std::optional<std::int64_t> maxTokens;
    std::optional<std::uint64_t> seed;
    std::uint64_t prefixHash = 0; ///< Of the first message: calls that share it share a cached prefix.
    std::int64_t estimatedPromptTokens = 0;
};

/// Why a body is no chat completion request.
struct ChatRequestError {
    bool isJson = true;
    std::string message;
};

/// Reads the body of POST /v1/chat/completions. Sets @p error and returns nothing if it is wrong.
std::optional<ChatRequest> readChatRequest(std::string_view body, ChatRequestError &error);

} // namespace cardamomlift::gateway
