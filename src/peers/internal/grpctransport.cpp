#include "peers/grpctransport.h"

#include "peers/generated/peers.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <map>
#include <unordered_map>

namespace cardamomlift::peers {

namespace {

constexpr char TokenMetadata[] = "x-peer-token";
constexpr int ShutdownGraceMs = 200;

using Deadline = std::chrono::system_clock::time_point;

Error toError(const grpc::Status &status)
{
    return failure(ErrorKind::Unavailable, "the peer did not answer: " + status.error_message());
}

} // namespace

struct GrpcTransport::Impl : public wire::Peers::CallbackService, public std::enable_shared_from_this<GrpcTransport::Impl> {
    EventLoop *loop = nullptr;
    GrpcOptions options;
    std::unique_ptr<grpc::Server> server;
    int boundPort = 0;
    PeerCounters counters;
    std::unordered_map<std::string, TopicHandler> handlers;
    std::map<std::string, std::shared_ptr<grpc::Channel>> channels;

    grpc::ServerUnaryReactor *Send(grpc::CallbackServerContext *context, const wire::Envelope *request, wire::EnvelopeReply *reply) override;
    void dispatch(const wire::Envelope &request, wire::EnvelopeReply *reply, std::function<void()> finish);
    std::shared_ptr<grpc::Channel> channelTo(const PeerAddress &peer);
    std::shared_ptr<grpc::ServerCredentials> serverCredentials() const;
    std::shared_ptr<grpc::ChannelCredentials> channelCredentials() const;
};

grpc::ServerUnaryReactor *GrpcTransport::Impl::Send(grpc::CallbackServerContext *context, const wire::Envelope *request, wire::EnvelopeReply *reply)
{
    auto *reactor = context->DefaultReactor();
    const auto &metadata = context->client_metadata();
    const auto token = metadata.find(TokenMetadata);
    if (token == metadata.end() || token->second != options.token) {
        reactor->Finish(grpc::Status(grpc::StatusCode::UNAUTHENTICATED, "wrong peer token"));
        return reactor;
    }
    // The request and the reply stay alive until Finish().
    loop->post([self = shared_from_this(), request, reply, reactor] { self->dispatch(*request, reply, [reactor] { reactor->Finish(grpc::Status::OK); }); });
    return reactor;
}

void GrpcTransport::Impl::dispatch(const wire::Envelope &request, wire::EnvelopeReply *reply, std::function<void()> finish)
{
    counters.callsReceived++;
    counters.bytesReceived += request.payload().size();
    const auto handler = handlers.find(request.topic());
    if (request.to_instance() != options.instance || handler == handlers.end()) {
        reply->set_accepted(false);
        reply->set_refusal(handler == handlers.end() ? "unknown topic" : "another instance listens here");
        finish();
        return;
    }
    handler->second(request.from_instance(), request.payload(), [this, reply, finish](Result<std::string> payload) {
        reply->set_accepted(payload.has_value());
        if (payload) {
            counters.bytesSent += payload.value().size();
            reply->set_payload(std::move(payload.value()));
        } else {
            reply->set_refusal(payload.error().message);
        }
        finish();
    });
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
        // No pings that probe the bandwidth: messages between VMs are small, and each probe costs more than its message.
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
    impl.loop = &loop;
    impl.options = std::move(options);
    grpc::ServerBuilder builder;
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_BDP_PROBE, 0);
    builder.AddListeningPort(impl.options.address + ":" + std::to_string(impl.options.port), impl.serverCredentials(), &impl.boundPort);
    builder.RegisterService(&impl);
    impl.server = builder.BuildAndStart();
    if (!impl.server || impl.boundPort == 0) {
        return failure(ErrorKind::Unavailable, "can't listen for peers on " + impl.options.address + ":" + std::to_string(impl.options.port));
    }
    return transport;
}

GrpcTransport::~GrpcTransport()
{
    if (impl_ && impl_->server) {
        impl_->server->Shutdown(std::chrono::system_clock::now() + std::chrono::milliseconds(ShutdownGraceMs));
    }
}

void GrpcTransport::send(const PeerAddress &peer, std::string topic, std::string payload, Duration timeout, Reply reply)
{
    struct Call {
        grpc::ClientContext context;
        wire::Envelope request;
        wire::EnvelopeReply reply;
        std::unique_ptr<wire::Peers::Stub> stub;
    };
    auto call = std::make_shared<Call>();
    impl_->counters.callsSent++;
    impl_->counters.bytesSent += payload.size();
    call->context.AddMetadata(TokenMetadata, impl_->options.token);
    // NOTE gRPC's own clock: a deadline of the transport, which a paused test clock does not stop.
    call->context.set_deadline(Deadline::clock::now() + timeout);
    call->request.set_from_instance(impl_->options.instance);
    call->request.set_to_instance(peer.instance);
    call->request.set_topic(std::move(topic));
    call->request.set_payload(std::move(payload));
    call->stub = wire::Peers::NewStub(impl_->channelTo(peer));
    auto *raw = call.get();
    raw->stub->async()->Send(&raw->context, &raw->request, &raw->reply, [impl = impl_, call, reply = std::move(reply)](grpc::Status status) {
        impl->loop->post([impl, call, reply, status] {
            if (impl->options.onCallEnded) {
                impl->options.onCallEnded(call->request.topic(), call->request.payload().size() + call->reply.payload().size());
            }
            if (!status.ok()) {
                impl->counters.failed++;
                reply(toError(status));
                return;
            }
            impl->counters.bytesReceived += call->reply.payload().size();
            if (!call->reply.accepted()) {
                impl->counters.failed++;
                reply(failure(ErrorKind::Denied, call->reply.refusal()));
                return;
            }
            reply(std::move(*call->reply.mutable_payload()));
        });
    });
}

void GrpcTransport::handle(std::string topic, TopicHandler handler)
{
    impl_->handlers[std::move(topic)] = std::move(handler);
}

const PeerCounters &GrpcTransport::counters() const
{
    return impl_->counters;
}

std::uint16_t GrpcTransport::port() const
{
    return static_cast<std::uint16_t>(impl_->boundPort);
}

} // namespace cardamomlift::peers
