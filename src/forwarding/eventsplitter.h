#pragma once

#include <string>
#include <string_view>

namespace cardamomlift::forwarding {

/// Splits a stream of server-sent events at event boundaries, so that a caller receives whole events only. The bytes
/// themselves are not changed. Lines may end with LF, CR or both.
class EventSplitter
{
public:
    /// Longest event that is buffered; a longer one is passed on in parts.
    static constexpr std::size_t MaxEventBytes = 256 * 1024;

    /// Appends @p bytes and returns the buffered bytes up to the end of the last whole event; empty if none has ended.
    std::string feed(std::string_view bytes);
    /// The buffered bytes after the end of the last whole event.
    const std::string &incompleteEvent() const;
    /// True if a part of an event has come, but not the empty line that ends it. Whole lines with comments belong to no event.
    bool isInsideEvent() const;
    /// False if the caller has received a part of an event: no other run can go on there, or after an event of unknown id.
    bool canResume() const;
    /// Discards the incomplete event, for a stream that is resumed at another server after the last whole event.
    void dropIncompleteEvent();
    /// The id of the last whole event; empty before the first one.
    const std::string &lastId() const;
    /// Number of whole events so far.
    std::size_t eventCount() const;

private:
    /// Reads the lines that have ended since the last call. Returns the position after the last whole event; 0 if none has ended.
    std::size_t scanLines();
    /// Returns true if the line ends an event.
    bool endLine(std::string_view line);
    std::string incompleteEvent_;
    std::size_t scanned_ = 0; ///< Bytes of incompleteEvent_ that have been scanned.
    std::size_t lineStart_ = 0; ///< Position of the line that has not ended yet.
    bool wasCarriageReturn_ = false; ///< The last byte scanned; an LF after it belongs to the same line end.
    bool hasFields_ = false; ///< A line of an event has ended, but not the event.
    bool isLineCut_ = false; ///< The start of the line that has not ended yet was passed on already.
    bool canResume_ = true;
    bool hasNewId_ = false; ///< The event that has not ended yet sets an id.
    std::string pendingId_; ///< The id of the event that has not ended yet; as lastId_ until a line sets it.
    std::string lastId_;
    std::size_t eventCount_ = 0;
};

} // namespace cardamomlift::forwarding
