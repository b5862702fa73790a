#pragma once

#include <string>
#include <string_view>

namespace cardamomlift::forwarding {

/// Splits a stream of server-sent events at event boundaries, so that a caller receives whole events only. The bytes
/// themselves are not changed.
class EventSplitter
{
public:
    /// Longest event that is buffered; a longer one is passed on in parts.
    static constexpr std::size_t MaxEventBytes = 256 * 1024;

    /// Appends @p bytes and returns the buffered bytes up to the end of the last whole event; empty if none has ended.
    std::string feed(std::string_view bytes);
    /// The buffered bytes of an event that has not ended yet.
    const std::string &incompleteEvent() const;
    /// Discards the incomplete event, for a stream that is resumed at another server after the last whole event.
    void dropIncompleteEvent();
    /// The id of the last whole event; empty before the first one.
    const std::string &lastId() const;
    /// Number of whole events so far.
    std::size_t eventCount() const;

private:
    void scanEvents(std::string_view events);
    std::string incompleteEvent_;
    std::string lastId_;
    std::size_t eventCount_ = 0;
};

} // namespace cardamomlift::forwarding
