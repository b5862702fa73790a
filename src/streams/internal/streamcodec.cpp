#include "streams/streamcodec.h"

namespace cardamomlift::streams {

void writeState(const StreamState &state, wire::StreamState &message)
{
    message.set_request_id(state.requestId);
    message.set_customer(state.customer);
    message.set_service_class(state.serviceClass);
    message.set_model(state.model);
    message.set_messages_json(state.messagesJson);
    message.set_max_tokens(state.maxTokens);
    message.set_seed(state.seed);
    message.set_priority(state.priority);
    message.set_prefix_hash(state.prefixHash);
    message.mutable_tokens()->Add(state.tokens.begin(), state.tokens.end());
    for (const Attempt &attempt : state.attempts) {
        wire::Attempt &added = *message.add_attempts();
        added.set_server(attempt.server);
        added.set_engine_request_id(attempt.engineRequestId);
    }
    message.set_finished(state.finished);
    message.set_finish_reason(state.finishReason);
    message.set_prompt_tokens(state.promptTokens);
    message.set_cached_tokens(state.cachedTokens);
    message.set_generation(state.generation);
}

StreamState readState(const wire::StreamState &message)
{
    StreamState state;
    state.requestId = message.request_id();
    state.customer = message.customer();
    state.serviceClass = message.service_class();
    state.model = message.model();
    state.messagesJson = message.messages_json();
    state.maxTokens = message.max_tokens();
    state.seed = message.seed();
    state.priority = message.priority();
    state.prefixHash = message.prefix_hash();
    state.tokens.assign(message.tokens().begin(), message.tokens().end());
    for (const wire::Attempt &attempt : message.attempts()) {
        state.attempts.push_back({attempt.server(), attempt.engine_request_id()});
    }
    state.finished = message.finished();
    state.finishReason = message.finish_reason();
    state.promptTokens = message.prompt_tokens();
    state.cachedTokens = message.cached_tokens();
    state.generation = message.generation();
    return state;
}

} // namespace cardamomlift::streams
