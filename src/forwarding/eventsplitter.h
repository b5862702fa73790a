#pragma once

#include <string>
#include <string_view>

namespace cardamomlift::forwarding {

/// Cuts a stream of server-sent events at the ends of events, so that only whole events go on to a caller. Bytes are passed
/// on unchanged.
class EventSplitter
{
public:
    /// Longest event that is held back; a longer one is passed on in parts.
    static constexpr std::size_t LongestEvent = 256 * 1024;

    /// Takes bytes and returns those that end whole events.
    std::string feed(std::string_view bytes);
    /// What has come of an event that has not ended.
    const std::string &rest() const;
    /// Forgets the rest: the stream goes on elsewhere behind the last whole event.
    void dropRest();
    /// The id of the last whole event; empty before the first.
    const std::string &lastId() const;
    /// Whole events so far.
    std::size_t events() const;

private:
    void noteEvents(std::string_view whole);
    std::string rest_;
    std::string lastId_;
    std::size_t events_ = 0;
};

} // namespace cardamomlift::forwarding
