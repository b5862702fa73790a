#include "forwarding/eventsplitter.h"

#include <algorithm>
#include <utility>

namespace cardamomlift::forwarding {

namespace {

constexpr std::string_view IdField = "id:";
constexpr char CommentStart = ':';

} // namespace

std::string EventSplitter::feed(std::string_view bytes)
{
    incompleteEvent_ += bytes;
    std::size_t cut = scanLines();
    if (cut == 0 && incompleteEvent_.size() > MaxEventBytes) {
        cut = incompleteEvent_.size();
        isLineCut_ = isLineCut_ || lineStart_ < cut;
        hasFields_ = true;
        canResume_ = false;
    }
    std::string events = incompleteEvent_.substr(0, cut);
    incompleteEvent_.erase(0, cut);
    scanned_ -= cut;
    lineStart_ -= std::min(lineStart_, cut);
    return events;
}

std::size_t EventSplitter::scanLines()
{
    std::size_t eventEnd = 0;
    for (; scanned_ < incompleteEvent_.size(); scanned_++) {
        const char byte = incompleteEvent_[scanned_];
        const bool isSecondOfLineEnd = byte == '\n' && wasCarriageReturn_;
        wasCarriageReturn_ = byte == '\r';
        if (byte != '\n' && byte != '\r') {
            continue;
        }
        const bool endsEvent = isSecondOfLineEnd ? eventEnd == scanned_ : endLine(std::string_view(incompleteEvent_).substr(lineStart_, scanned_ - lineStart_));
        lineStart_ = scanned_ + 1;
        eventEnd = endsEvent ? lineStart_ : eventEnd;
    }
    return eventEnd;
}

bool EventSplitter::endLine(std::string_view line)
{
    if (std::exchange(isLineCut_, false)) {
        return false;
    }
    if (line.empty()) {
        eventCount_++;
        hasFields_ = false;
        canResume_ = std::exchange(hasNewId_, false) || canResume_;
        lastId_ = pendingId_;
        return true;
    }
    if (line.front() == CommentStart) {
        return false;
    }
    hasFields_ = true;
    if (line.starts_with(IdField)) {
        line.remove_prefix(IdField.size());
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        pendingId_ = line;
        hasNewId_ = true;
    }
    return false;
}

const std::string &EventSplitter::incompleteEvent() const
{
    return incompleteEvent_;
}

bool EventSplitter::isInsideEvent() const
{
    return hasFields_ || lineStart_ < incompleteEvent_.size();
}

bool EventSplitter::canResume() const
{
    return canResume_;
}

void EventSplitter::dropIncompleteEvent()
{
    incompleteEvent_.clear();
    scanned_ = 0;
    lineStart_ = 0;
    wasCarriageReturn_ = false;
    hasFields_ = false;
    isLineCut_ = false;
    hasNewId_ = false;
    pendingId_ = lastId_;
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
