#include "origins/origintracker.h"

#include "origins/ownerrules.h"

#include <algorithm>
#include <utility>

namespace cardamomlift::origins {

namespace {

/// What is told and asked within this time goes in one datagram.
constexpr Duration SendDelay = std::chrono::milliseconds(2);
/// Origins and streams in one datagram: it fits into one packet.
constexpr std::size_t MaxEntries = 50;
/// A question is sent again after this long: more than the way between regions and back.
constexpr Duration AskPeriod = std::chrono::milliseconds(60);
/// A VM that has not answered by then is cut off or has ended.
constexpr Duration AskTimeout = std::chrono::milliseconds(250);
/// The oldest are forgotten first.
constexpr std::size_t MaxRecords = 100'000;
/// After a read of the store, streams that it did not know are not looked for there again for this long.
constexpr Duration StoreReadGap = std::chrono::milliseconds(500);

} // namespace

OriginTracker::OriginTracker(OriginTools tools)
    : tools_(std::move(tools))
{
}

std::shared_ptr<OriginTracker> OriginTracker::create(OriginTools tools)
{
    std::shared_ptr<OriginTracker> tracker(new OriginTracker(std::move(tools)));
    OriginTracker *raw = tracker.get();
    raw->updateVms();
    raw->tools_.socket->onDatagram([raw](std::string_view bytes) { raw->onDatagram(bytes); });
    return tracker;
}

OriginTracker::~OriginTracker()
{
    tools_.socket->onDatagram([](std::string_view) {});
    tools_.loop->cancel(sendTimer_);
    tools_.loop->cancel(questionTimer_);
}

std::size_t OriginTracker::size() const
{
    return records_.size();
}

void OriginTracker::noteBegun(StreamId stream, SoftwareId software, bool isStored)
{
    const StreamOrigin origin{stream, software, Duration(0)};
    remember(origin);
    for (const std::size_t owner : chooseOwners(stream, vms_)) {
        if (owner != 0) {
            messageTo(vms_[owner].endpoint).origins.push_back(origin);
        }
    }
    if (isStored) {
        store(origin);
    }
}

void OriginTracker::store(const StreamOrigin &origin)
{
    const std::size_t writer = chooseWriter(origin.stream, vms_);
    if (writer != 0) {
        messageTo(vms_[writer].endpoint).toStore.push_back(origin);
    } else if (tools_.stored) {
        tools_.stored->add(origin);
    }
}

void OriginTracker::findStored(StreamId stream, FoundHandler handler)
{
    const TimePoint now = tools_.loop->now();
    if (!tools_.stored || now < readsStoreAgainAt_) {
        answerStored(stream, handler);
        return;
    }
    tools_.stored->read([weak = weak_from_this(), stream, handler = std::move(handler)](std::span<const StreamOrigin> origins) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        self->readsStoreAgainAt_ = self->tools_.loop->now() + StoreReadGap;
        for (const StreamOrigin &origin : origins) {
            if (!self->records_.contains(origin.stream)) {
                self->remember(origin);
            }
        }
        self->answerStored(stream, handler);
    });
}

void OriginTracker::answerStored(StreamId stream, const FoundHandler &handler) const
{
    const auto known = records_.find(stream);
    if (known == records_.end()) {
        handler({OriginSource::Unknown, std::nullopt, Duration(0)});
        return;
    }
    handler({OriginSource::Store, known->second.software, originOf(stream, known->second).age});
}

void OriginTracker::remember(const StreamOrigin &origin)
{
    const TimePoint now = tools_.loop->now();
    const auto [entry, isNew] = records_.try_emplace(origin.stream);
    entry->second.software = origin.software;
    entry->second.begunAt = isNew ? now - origin.age : std::max(entry->second.begunAt, now - origin.age);
    order_.emplace_back(origin.stream, now);
    while (order_.size() > MaxRecords) {
        records_.erase(order_.front().first);
        order_.pop_front();
    }
}

StreamOrigin OriginTracker::originOf(StreamId stream, const Record &record) const
{
    return {stream, record.software, tools_.loop->now() - record.begunAt};
}

void OriginTracker::find(StreamId stream, FoundHandler handler)
{
    const auto known = records_.find(stream);
    if (known != records_.end()) {
        handler({OriginSource::Own, known->second.software, originOf(stream, known->second).age});
        return;
    }
    const bool isAsked = questions_.contains(stream);
    Question &question = questions_[stream];
    question.handlers.push_back(std::move(handler));
    if (isAsked) {
        return;
    }
    question.endsAt = tools_.loop->now() + AskTimeout;
    scheduleQuestions();
    ask(stream);
}

std::vector<http1::Endpoint> OriginTracker::unansweredOwners(StreamId stream) const
{
    const std::set<http1::Endpoint> &withoutOrigin = questions_.at(stream).withoutOrigin;
    std::vector<http1::Endpoint> unanswered;
    for (const std::size_t owner : chooseOwners(stream, vms_)) {
        if (owner != 0 && !withoutOrigin.contains(vms_[owner].endpoint)) {
            unanswered.push_back(vms_[owner].endpoint);
        }
    }
    return unanswered;
}

void OriginTracker::ask(StreamId stream)
{
    const std::vector<http1::Endpoint> unanswered = unansweredOwners(stream);
    for (const http1::Endpoint &endpoint : unanswered) {
        messageTo(endpoint).asked.push_back(stream);
    }
    finishIfAnswered(stream, unanswered);
}

void OriginTracker::finishIfAnswered(StreamId stream, const std::vector<http1::Endpoint> &unanswered)
{
    if (isFleetKnown_ && unanswered.empty()) {
        finish(stream, FoundOrigin{OriginSource::Unknown, std::nullopt, Duration(0)});
    }
}

void OriginTracker::scheduleQuestions()
{
    if (questionTimer_ != 0) {
        return;
    }
    questionTimer_ = tools_.loop->after(AskPeriod, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->questionTimer_ = 0;
            self->askAgain();
        }
    });
}

void OriginTracker::askAgain()
{
    updateVms();
    std::vector<StreamId> streams;
    streams.reserve(questions_.size());
    for (const auto &[stream, question] : questions_) {
        streams.push_back(stream);
    }
    for (const StreamId stream : streams) {
        if (tools_.loop->now() >= questions_.at(stream).endsAt) {
            finish(stream, FoundOrigin{OriginSource::Unanswered, std::nullopt, Duration(0)});
        } else {
            ask(stream);
        }
    }
    if (!questions_.empty()) {
        scheduleQuestions();
    }
}

void OriginTracker::finish(StreamId stream, const FoundOrigin &found)
{
    const auto entry = questions_.find(stream);
    if (entry == questions_.end()) {
        return;
    }
    const std::vector<FoundHandler> handlers = std::move(entry->second.handlers);
    questions_.erase(entry);
    for (const FoundHandler &handler : handlers) {
        handler(found);
    }
}

void OriginTracker::onDatagram(std::string_view bytes)
{
    const auto self = shared_from_this();
    const auto message = decodeMessage(bytes);
    if (!message) {
        return;
    }
    for (const StreamOrigin &origin : message->origins) {
        remember(origin);
        finish(origin.stream, {OriginSource::Peer, origin.software, origin.age});
    }
    for (const StreamId stream : message->unknown) {
        noteUnknown(stream, message->from);
    }
    for (const StreamOrigin &origin : message->toStore) {
        remember(origin);
        if (tools_.stored) {
            tools_.stored->add(origin);
        }
    }
    answer(*message);
}

void OriginTracker::answer(const OriginMessage &message)
{
    for (const StreamId stream : message.asked) {
        const auto known = records_.find(stream);
        if (known == records_.end()) {
            messageTo(message.from).unknown.push_back(stream);
        } else {
            messageTo(message.from).origins.push_back(originOf(stream, known->second));
        }
    }
}

void OriginTracker::noteUnknown(StreamId stream, const http1::Endpoint &from)
{
    const auto entry = questions_.find(stream);
    if (entry == questions_.end()) {
        return;
    }
    entry->second.withoutOrigin.insert(from);
    finishIfAnswered(stream, unansweredOwners(stream));
}

void OriginTracker::tick()
{
    const TimePoint now = tools_.loop->now();
    while (!order_.empty() && now - order_.front().second >= OriginLifetime) {
        const auto record = records_.find(order_.front().first);
        // It may have come again since.
        if (record != records_.end() && now - record->second.begunAt >= OriginLifetime) {
            records_.erase(record);
        }
        order_.pop_front();
    }
    updateVms();
}

void OriginTracker::updateVms()
{
    std::optional<std::vector<OriginVm>> others = tools_.others();
    isFleetKnown_ = isFleetKnown_ || others;
    std::vector<OriginVm> vms = std::move(others).value_or(std::vector<OriginVm>());
    vms.insert(vms.begin(), tools_.self);
    if (vms == vms_) {
        return;
    }
    const std::vector<OriginVm> before = std::exchange(vms_, std::move(vms));
    tellNewOwners(before);
}

void OriginTracker::tellNewOwners(const std::vector<OriginVm> &before)
{
    for (const auto &[stream, record] : records_) {
        const std::vector<std::size_t> ownersBefore = chooseOwners(stream, before);
        for (const std::size_t owner : chooseOwners(stream, vms_)) {
            const bool knewIt = std::any_of(ownersBefore.begin(), ownersBefore.end(), [&](std::size_t index) { return before[index] == vms_[owner]; });
            if (owner != 0 && !knewIt) {
                messageTo(vms_[owner].endpoint).origins.push_back(originOf(stream, record));
            }
        }
    }
}

OriginMessage &OriginTracker::messageTo(const http1::Endpoint &endpoint)
{
    scheduleSend();
    return outgoing_[endpoint];
}

void OriginTracker::scheduleSend()
{
    if (sendTimer_ != 0) {
        return;
    }
    sendTimer_ = tools_.loop->after(SendDelay, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->sendTimer_ = 0;
            self->sendMessages();
        }
    });
}

void OriginTracker::sendMessages()
{
    for (const auto &[endpoint, message] : std::exchange(outgoing_, {})) {
        sendInParts(endpoint, message);
    }
}

void OriginTracker::sendInParts(const http1::Endpoint &to, const OriginMessage &message)
{
    OriginMessage part;
    std::size_t entries = 0;
    const auto send = [&] {
        part.from = tools_.self.endpoint;
        tools_.socket->send(to, encodeMessage(std::exchange(part, {})));
        entries = 0;
    };
    const auto add = [&](const auto &from, auto OriginMessage::*list) {
        for (const auto &entry : from) {
            (part.*list).push_back(entry);
            if (++entries == MaxEntries) {
                send();
            }
        }
    };
    add(message.origins, &OriginMessage::origins);
    add(message.asked, &OriginMessage::asked);
    add(message.unknown, &OriginMessage::unknown);
    add(message.toStore, &OriginMessage::toStore);
    if (entries > 0) {
        send();
    }
}

} // namespace cardamomlift::origins
