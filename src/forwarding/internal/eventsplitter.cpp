#include "forwarding/eventsplitter.h"

#include <algorithm>

namespace cardamomlift::forwarding {

namespace {

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view IdField = "id:";

} // namespace

std::string EventSplitter::feed(std::string_view bytes)
{
    incompleteEvent_ += bytes;
    const auto end = incompleteEvent_.rfind(EventEnd);
    if (end == std::string::npos && incompleteEvent_.size() <= MaxEventBytes) {
        return {};
    }
    const std::size_t cut = end == std::string::npos ? incompleteEvent_.size() : end + EventEnd.size();
    std::string wholeEvents = incompleteEvent_.substr(0, cut);
    incompleteEvent_.erase(0, cut);
    scanEvents(wholeEvents);
    return wholeEvents;
}

void EventSplitter::scanEvents(std::string_view wholeEvents)
{
    std::size_t start = 0;
    while (start < wholeEvents.size()) {
        const std::size_t end = std::min(wholeEvents.find('\n', start), wholeEvents.size());
        std::string_view line = wholeEvents.substr(start, end - start);
        start = end + 1;
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (line.empty()) {
            events_++;
        } else if (line.starts_with(IdField)) {
            line.remove_prefix(IdField.size());
            line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
            lastId_ = line;
        }
    }
}

const std::string &EventSplitter::incompleteEvent() const
{
    return incompleteEvent_;
}

void EventSplitter::dropIncompleteEvent()
{
    incompleteEvent_.clear();
}

const std::string &EventSplitter::lastId() const
{
    return lastId_;
}

std::size_t EventSplitter::events() const
{
    return events_;
}

} // namespace cardamomlift::forwarding
