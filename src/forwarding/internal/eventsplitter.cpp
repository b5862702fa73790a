#include "forwarding/eventsplitter.h"

#include <algorithm>

namespace cardamomlift::forwarding {

namespace {

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view IdField = "id:";

} // namespace

std::string EventSplitter::feed(std::string_view bytes)
{
    rest_ += bytes;
    const auto end = rest_.rfind(EventEnd);
    if (end == std::string::npos && rest_.size() <= LongestEvent) {
        return {};
    }
    const std::size_t cut = end == std::string::npos ? rest_.size() : end + EventEnd.size();
    std::string whole = rest_.substr(0, cut);
    rest_.erase(0, cut);
    noteEvents(whole);
    return whole;
}

void EventSplitter::noteEvents(std::string_view whole)
{
    std::size_t start = 0;
    while (start < whole.size()) {
        const std::size_t end = std::min(whole.find('\n', start), whole.size());
        std::string_view line = whole.substr(start, end - start);
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

const std::string &EventSplitter::rest() const
{
    return rest_;
}

void EventSplitter::dropRest()
{
    rest_.clear();
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
