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
    std::string events = incompleteEvent_.substr(0, cut);
    incompleteEvent_.erase(0, cut);
    scanEvents(events);
    return events;
}

void EventSplitter::scanEvents(std::string_view events)
{
    std::size_t start = 0;
    while (start < events.size()) {
        const std::size_t end = std::min(events.find('\n', start), events.size());
        std::string_view line = events.substr(start, end - start);
        start = end + 1;
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (line.empty()) {
            eventCount_++;
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

std::size_t EventSplitter::eventCount() const
{
    return eventCount_;
}

} // namespace cardamomlift::forwarding
