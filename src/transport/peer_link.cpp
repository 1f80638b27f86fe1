#include "transport/peer_link.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <spdlog/spdlog.h>

#include <array>
#include <iterator>
#include <stdexcept>

namespace walkford::transport {

namespace {
constexpr std::size_t kMaxUnsentBytes = std::size_t{32} * 1024;
constexpr std::size_t kMaxIncomingConnections = 16;
constexpr int kMaxAttemptedSends = 6;
constexpr std::size_t kLengthPrefixBytes = 4;  // big-endian length prefix of each frame

sockaddr_in to_sockaddr(const std::string& address) {
    auto [host, port] = split_address(address);
    sockaddr_in socket_address{};
    socket_address.sin_family = AF_INET;
    socket_address.sin_port = htons(port);
    if (inet_pton(AF_INET, host.c_str(), &socket_address.sin_addr) != 1) {
        throw std::runtime_error("invalid peer address " + address + ": expected an IPv4 address");
    }
    return socket_address;
}

// Reads the length prefix without consuming it. The buffer must hold at least kLengthPrefixBytes.
std::size_t peek_frame_length(evbuffer* input) {
    std::array<unsigned char, kLengthPrefixBytes> length{};
    evbuffer_copyout(input, length.data(), length.size());
    std::size_t size = 0;
    for (unsigned char byte : length) {
        size = (size << 8) | byte;
    }
    return size;
}
}  // namespace

PeerLink::PeerLink(event_base* base, const std::string& listen, std::vector<Peer> peers,
                   Handler handler)
    : base_(base),
      peers_(std::move(peers)),
      handler_(std::move(handler)),
      outgoing_(peers_.size()) {
    sockaddr_in address = to_sockaddr(listen);
    listener_.reset(evconnlistener_new_bind(
        base_, on_accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        -1, reinterpret_cast<sockaddr*>(&address), sizeof address));
    if (!listener_) {
        throw std::runtime_error("failed to listen for peers on " + listen);
    }
    for (std::size_t i = 0; i < outgoing_.size(); ++i) {
        outgoing_[i].link = this;
        outgoing_[i].peer = i;
        to_sockaddr(peers_[i].address);  // rejects an invalid address at startup
    }
}

void PeerLink::connect(Outgoing& outgoing) {
    outgoing.connected = false;
    outgoing.attempted_sends = 0;
    outgoing.buffer.reset(bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE));
    if (!outgoing.buffer) {
        return;
    }
    bufferevent* buffer = outgoing.buffer.get();
    bufferevent_setcb(buffer, on_outgoing_read, nullptr, on_outgoing_event, &outgoing);
    bufferevent_enable(buffer, EV_READ | EV_WRITE);
    sockaddr_in address = to_sockaddr(peers_[outgoing.peer].address);
    if (bufferevent_socket_connect(buffer, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
        0) {
        outgoing.buffer.reset();
    }
}

void PeerLink::send(const OutgoingPeerHeartbeat& message) {
    if (message.peer >= outgoing_.size()) {
        return;
    }
    Outgoing& outgoing = outgoing_[message.peer];
    if (!outgoing.buffer) {
        connect(outgoing);
        if (!outgoing.buffer) {
            return;
        }
    }
    // In a network partition, packets are dropped without an error. The connection is closed, its
    // unsent data discarded and a new one opened; otherwise heartbeats that are minutes old would
    // be delivered first once the partition ends.
    if (!outgoing.connected && ++outgoing.attempted_sends > kMaxAttemptedSends) {
        outgoing.buffer.reset();
        return;
    }
    evbuffer* unsent = bufferevent_get_output(outgoing.buffer.get());
    if (evbuffer_get_length(unsent) > kMaxUnsentBytes) {
        outgoing.buffer.reset();
        return;
    }
    if (!outgoing.connected) {
        return;
    }
    std::string frame = protocol::encode_frame(message.peer_heartbeat);
    bufferevent_write(outgoing.buffer.get(), frame.data(), frame.size());
}

void PeerLink::on_outgoing_event(bufferevent*, short events, void* arg) {
    auto* outgoing = static_cast<Outgoing*>(arg);
    if (events & BEV_EVENT_CONNECTED) {
        outgoing->connected = true;
    } else if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
        outgoing->buffer.reset();
        outgoing->connected = false;
    }
}

void PeerLink::on_outgoing_read(bufferevent* buffer, void*) {
    evbuffer* input = bufferevent_get_input(buffer);
    evbuffer_drain(input, evbuffer_get_length(input));  // peers send nothing on this connection
}

void PeerLink::on_accept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* arg) {
    auto* self = static_cast<PeerLink*>(arg);
    if (self->incoming_.size() >= kMaxIncomingConnections) {
        self->incoming_.pop_front();
    }
    self->incoming_.emplace_back();
    auto position = std::prev(self->incoming_.end());
    position->link = self;
    position->position = position;
    position->buffer.reset(bufferevent_socket_new(self->base_, socket, BEV_OPT_CLOSE_ON_FREE));
    if (!position->buffer) {
        evutil_closesocket(socket);
        self->incoming_.erase(position);
        return;
    }
    bufferevent* buffer = position->buffer.get();
    bufferevent_setcb(buffer, on_incoming_read, nullptr, on_incoming_event, &*position);
    bufferevent_setwatermark(buffer, EV_READ, 0, 2 * protocol::kMaxFrameBytes);
    bufferevent_enable(buffer, EV_READ | EV_WRITE);
}

void PeerLink::close(Incoming& incoming) { incoming_.erase(incoming.position); }

void PeerLink::on_incoming_read(bufferevent* buffer, void* arg) {
    auto* incoming = static_cast<Incoming*>(arg);
    PeerLink* self = incoming->link;
    evbuffer* input = bufferevent_get_input(buffer);
    while (evbuffer_get_length(input) >= kLengthPrefixBytes) {
        std::size_t size = peek_frame_length(input);
        if (size == 0 || size > protocol::kMaxFrameBytes) {
            spdlog::warn("closing a peer connection: frame length {} bytes, expected 1 to {}", size,
                         protocol::kMaxFrameBytes);
            self->close(*incoming);
            return;
        }
        if (evbuffer_get_length(input) < kLengthPrefixBytes + size) {
            return;
        }
        evbuffer_drain(input, kLengthPrefixBytes);
        std::string frame(size, '\0');
        evbuffer_remove(input, frame.data(), size);
        auto heartbeat = protocol::decode_frame(frame);
        if (!heartbeat) {
            spdlog::warn("closing a peer connection: failed to decode a frame of {} bytes", size);
            self->close(*incoming);
            return;
        }
        self->deliver(std::move(*heartbeat));
    }
}

// Drops heartbeats from controllers that are not in the settings.
void PeerLink::deliver(PeerHeartbeat heartbeat) {
    for (std::size_t i = 0; i < peers_.size(); ++i) {
        if (peers_[i].name == heartbeat.controller) {
            handler_(IncomingPeerHeartbeat{i, std::move(heartbeat)});
            return;
        }
    }
}

void PeerLink::on_incoming_event(bufferevent*, short events, void* arg) {
    auto* incoming = static_cast<Incoming*>(arg);
    if (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
        incoming->link->close(*incoming);
    }
}

}  // namespace walkford::transport
