#include "engine/sseparser.h"

namespace cardamomlift::engine {

bool SseParser::feed(std::string_view bytes, const std::function<void(const SseEvent &event)> &handler)
{
    buffer_.append(bytes);
    std::size_t start = 0;
    for (std::size_t end = buffer_.find('\n'); end != std::string::npos; end = buffer_.find('\n', start)) {
        std::string_view line(buffer_.data() + start, end - start);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        parseLine(line, handler);
        start = end + 1;
    }
    buffer_.erase(0, start);
    return buffer_.size() + event_.data.size() <= MaxEventBytes;
}

void SseParser::parseLine(std::string_view line, const std::function<void(const SseEvent &event)> &handler)
{
    if (line.empty()) {
        if (!event_.data.empty()) {
            handler(event_);
        }
        event_ = {};
        return;
    }
    const auto colon = line.find(':');
    const std::string_view field = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    if (field == "data") {
        if (!event_.data.empty()) {
            event_.data += '\n';
        }
        event_.data += value;
    } else if (field == "id") {
        event_.id = value;
    }
}

} // namespace cardamomlift::engine
