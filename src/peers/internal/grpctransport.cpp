#include "peers/grpctransport.h"

#include "peers/internal/opencalls.h"
#include "peers/peerlistener.h"

#include <grpcpp/grpcpp.h>

#include <map>
#include <unordered_map>
#include <utility>

namespace cardamomlift::peers {

namespace {

constexpr char TokenMetadata[] = "x-peer-token";
/// Of the service in peers.proto.
constexpr char SendMethod[] = "/cardamomlift.peers.wire.Peers/Send";
constexpr int ShutdownGraceMs = 200;
/// Until a new connection has said in HTTP/2, and TLS if it is used, who it is.
constexpr int HandshakeTimeoutMs = 10000;

using Deadline = std::chrono::system_clock::time_point;

Error toError(const grpc::Status &status)
{
    return failure(ErrorKind::Unavailable, "the peer did not answer: " + status.error_message());
}

Result<std::string> resultOf(SentCall &call, const grpc::Status &status, PeerCounters &counters)
{
    if (!status.ok()) {
        counters.callsFailed++;
        return toError(status);
    }
    counters.bytesReceived += call.reply.payload().size();
    if (!call.reply.accepted()) {
        counters.callsFailed++;
        return failure(ErrorKind::Denied, call.reply.refusal());
    }
    return std::move(*call.reply.mutable_payload());
}

} // namespace

struct GrpcTransport::Impl : public grpc::CallbackGenericService {
    std::shared_ptr<OpenCalls> calls;
    GrpcOptions options;
    std::unique_ptr<PeerListener> listener; ///< Null without a budget: gRPC listens by itself.
    std::unique_ptr<grpc::experimental::ExternalConnectionAcceptor> acceptor; ///< Takes over the listener's connections.
    std::unique_ptr<grpc::Server> server;
    int boundPort = 0;
    /// Shared with the callbacks that answer calls, which may outlive the transport.
    std::shared_ptr<PeerCounters> counters = std::make_shared<PeerCounters>();
    std::unordered_map<std::string, TopicHandler> handlers;
    std::map<std::string, std::shared_ptr<grpc::Channel>> channels;

    grpc::ServerGenericBidiReactor *CreateReactor(grpc::GenericCallbackServerContext *context) override;
    void dispatch(const std::shared_ptr<ReceivedCall> &call);
    void stop();
    /// Starts the listener that passes connections on to gRPC.
    Result<void> listen(EventLoop &loop);
    std::shared_ptr<grpc::Channel> channelTo(const PeerAddress &peer);
    std::shared_ptr<grpc::ServerCredentials> serverCredentials() const;
    std::shared_ptr<grpc::ChannelCredentials> channelCredentials() const;
};

grpc::ServerGenericBidiReactor *GrpcTransport::Impl::CreateReactor(grpc::GenericCallbackServerContext *context)
{
    if (context->method() != SendMethod) {
        return ReceivedCall::refuse({grpc::StatusCode::UNIMPLEMENTED, "unknown method"});
    }
    const auto &metadata = context->client_metadata();
    const auto token = metadata.find(TokenMetadata);
    if (token == metadata.end() || token->second != options.token) {
        return ReceivedCall::refuse({grpc::StatusCode::UNAUTHENTICATED, "wrong peer token"});
    }
    return ReceivedCall::read([this, open = calls](const std::shared_ptr<ReceivedCall> &call) {
        open->addReceived(call, [this](const std::shared_ptr<ReceivedCall> &received) { dispatch(received); });
    });
}

void GrpcTransport::Impl::dispatch(const std::shared_ptr<ReceivedCall> &call)
{
    const wire::Envelope &request = call->request();
    counters->callsReceived++;
    counters->bytesReceived += request.payload().size();
    const auto handler = handlers.find(request.topic());
    if (request.to_instance() != options.instance || handler == handlers.end()) {
        call->reply().set_accepted(false);
        call->reply().set_refusal(handler == handlers.end() ? "unknown topic" : "another instance listens here");
        calls->finishReceived(call);
        return;
    }
    handler->second(request.from_instance(), request.payload(), [open = calls, counters = counters, call](Result<std::string> payload) {
        if (call->hasEnded()) {
            return;
        }
        call->reply().set_accepted(payload.has_value());
        if (payload) {
            counters->bytesSent += payload.value().size();
            call->reply().set_payload(std::move(payload.value()));
        } else {
            call->reply().set_refusal(payload.error().message);
        }
        open->finishReceived(call);
    });
}

Result<void> GrpcTransport::Impl::listen(EventLoop &loop)
{
    const auto handOver = [this](int listenerDescriptor, int descriptor) {
        grpc::experimental::ExternalConnectionAcceptor::NewConnectionParameters connection;
        connection.listener_fd = listenerDescriptor;
        connection.fd = descriptor;
        acceptor->HandleNewConnection(&connection);
    };
    BOOST_OUTCOME_TRY(opened, PeerListener::listen(loop, options.address, options.port, options.budget, handOver));
    listener = std::move(opened);
    boundPort = listener->port();
    return success();
}

void GrpcTransport::Impl::stop()
{
    calls->close();
    listener.reset();
    if (server) {
        server->Shutdown(std::chrono::system_clock::now() + std::chrono::milliseconds(ShutdownGraceMs));
    }
}

std::shared_ptr<grpc::ServerCredentials> GrpcTransport::Impl::serverCredentials() const
{
    if (options.certificatePem.empty()) {
        return grpc::InsecureServerCredentials();
    }
    grpc::SslServerCredentialsOptions ssl(GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
    ssl.pem_root_certs = options.authorityPem;
    ssl.pem_key_cert_pairs.push_back({options.privateKeyPem, options.certificatePem});
    return grpc::SslServerCredentials(ssl);
}

std::shared_ptr<grpc::ChannelCredentials> GrpcTransport::Impl::channelCredentials() const
{
    if (options.certificatePem.empty()) {
        return grpc::InsecureChannelCredentials();
    }
    grpc::SslCredentialsOptions ssl;
    ssl.pem_root_certs = options.authorityPem;
    ssl.pem_private_key = options.privateKeyPem;
    ssl.pem_cert_chain = options.certificatePem;
    return grpc::SslCredentials(ssl);
}

std::shared_ptr<grpc::Channel> GrpcTransport::Impl::channelTo(const PeerAddress &peer)
{
    const std::string target = peer.address + ":" + std::to_string(peer.port);
    auto &channel = channels[target];
    if (!channel) {
        grpc::ChannelArguments arguments;
        arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
        arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
        arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
        // No pings that estimate the bandwidth: messages between VMs are small, and each ping costs more than its message.
        arguments.SetInt(GRPC_ARG_HTTP2_BDP_PROBE, 0);
        channel = grpc::CreateCustomChannel("ipv4:" + target, channelCredentials(), arguments);
    }
    return channel;
}

Result<std::shared_ptr<GrpcTransport>> GrpcTransport::create(EventLoop &loop, GrpcOptions options)
{
    std::shared_ptr<GrpcTransport> transport(new GrpcTransport);
    transport->impl_ = std::make_shared<Impl>();
    Impl &impl = *transport->impl_;
    impl.calls = std::make_shared<OpenCalls>(loop);
    impl.options = std::move(options);
    grpc::ServerBuilder builder;
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_BDP_PROBE, 0);
    builder.AddChannelArgument(GRPC_ARG_SERVER_HANDSHAKE_TIMEOUT_MS, HandshakeTimeoutMs);
    if (impl.options.budget) {
        using Acceptor = grpc::ServerBuilder::experimental_type::ExternalConnectionType;
        impl.acceptor = builder.experimental().AddExternalConnectionAcceptor(Acceptor::FROM_FD, impl.serverCredentials());
    } else {
        builder.AddListeningPort(impl.options.address + ":" + std::to_string(impl.options.port), impl.serverCredentials(), &impl.boundPort);
    }
    builder.RegisterCallbackGenericService(&impl);
    impl.server = builder.BuildAndStart();
    if (impl.server && impl.acceptor) {
        BOOST_OUTCOME_TRY(impl.listen(loop));
    }
    if (!impl.server || impl.boundPort == 0) {
        return failure(ErrorKind::Unavailable, "can't listen for peers on " + impl.options.address + ":" + std::to_string(impl.options.port));
    }
    return transport;
}

GrpcTransport::~GrpcTransport()
{
    stop();
}

void GrpcTransport::stop()
{
    if (!std::exchange(isStopped_, true)) {
        impl_->stop();
    }
}

void GrpcTransport::send(const PeerAddress &peer, std::string topic, std::string payload, Duration timeout, Reply reply)
{
    auto call = std::make_shared<SentCall>();
    if (!impl_->calls->addSent(call)) {
        return;
    }
    impl_->counters->callsSent++;
    impl_->counters->bytesSent += payload.size();
    call->context.AddMetadata(TokenMetadata, impl_->options.token);
    // NOTE The deadline is measured by gRPC's own clock. It passes even while a test has paused the loop's clock.
    call->context.set_deadline(Deadline::clock::now() + timeout);
    call->request.set_from_instance(impl_->options.instance);
    call->request.set_to_instance(peer.instance);
    call->request.set_topic(std::move(topic));
    call->request.set_payload(std::move(payload));
    call->stub = wire::Peers::NewStub(impl_->channelTo(peer));
    call->handler = std::move(reply);
    // NOTE The callback must not own the call: gRPC's thread would destroy it, and its reply handler with it, outside the
    // event loop's thread.
    SentCall *raw = call.get();
    call->stub->async()->Send(&raw->context,
        &raw->request,
        &raw->reply,
        [raw, calls = impl_->calls, counters = impl_->counters, onCallEnded = impl_->options.onCallEnded](const grpc::Status &status) {
            calls->finishSent(raw, [counters, status, onCallEnded](SentCall &call) {
                if (onCallEnded) {
                    onCallEnded(call.request.topic(), call.request.payload().size() + call.reply.payload().size());
                }
                call.handler(resultOf(call, status, *counters));
            });
        });
}

void GrpcTransport::handle(std::string topic, TopicHandler handler)
{
    impl_->handlers[std::move(topic)] = std::move(handler);
}

const PeerCounters &GrpcTransport::counters() const
{
    return *impl_->counters;
}

std::uint16_t GrpcTransport::port() const
{
    return static_cast<std::uint16_t>(impl_->boundPort);
}

} // namespace cardamomlift::peers
