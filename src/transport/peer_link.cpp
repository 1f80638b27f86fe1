#include "transport/peer_link.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <spdlog/spdlog.h>

#include <stdexcept>

namespace walkford::transport {

namespace {
constexpr std::size_t kMostWaiting = std::size_t{32} * 1024;
constexpr std::size_t kMostIncoming = 16;

sockaddr_in to_sockaddr(const std::string& address) {
    auto [host, port] = split_address(address);
    sockaddr_in a{};
    a.sin_family = AF_INET;
    a.sin_port = htons(port);
    if (inet_pton(AF_INET, host.c_str(), &a.sin_addr) != 1) {
        throw std::runtime_error("not an IPv4 address: " + address);
    }
    return a;
}
}  // namespace

PeerLink::PeerLink(event_base* base, const std::string& listen, std::vector<Peer> peers,
                   Handler handler)
    : base_(base), peers_(std::move(peers)), handler_(std::move(handler)), out_(peers_.size()) {
    sockaddr_in a = to_sockaddr(listen);
    listener_.reset(evconnlistener_new_bind(
        base_, on_accept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        -1, reinterpret_cast<sockaddr*>(&a), sizeof a));
    if (!listener_) {
        throw std::runtime_error("can't listen on " + listen);
    }
    for (std::size_t i = 0; i < out_.size(); ++i) {
        out_[i].link = this;
        out_[i].peer = i;
        to_sockaddr(peers_[i].address);  // refuse a bad address at the start
    }
}

void PeerLink::connect(Outgoing& o) {
    o.up = false;
    o.quiet = 0;
    o.buffer.reset(bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE));
    if (!o.buffer) {
        return;
    }
    bufferevent_setcb(o.buffer.get(), on_out_read, nullptr, on_out_event, &o);
    bufferevent_enable(o.buffer.get(), EV_READ | EV_WRITE);
    sockaddr_in a = to_sockaddr(peers_[o.peer].address);
    if (bufferevent_socket_connect(o.buffer.get(), reinterpret_cast<sockaddr*>(&a), sizeof a) !=
        0) {
        o.buffer.reset();
    }
}

void PeerLink::send(const PeerSend& m) {
    if (m.peer >= out_.size()) {
        return;
    }
    Outgoing& o = out_[m.peer];
    if (!o.buffer) {
        connect(o);
        if (!o.buffer) {
            return;
        }
    }
    // Behind a cut nothing answers: what waits is dropped with the connection and begun anew, or
    // facts minutes old would go out first.
    if (!o.up && ++o.quiet > 6) {
        o.buffer.reset();
        return;
    }
    evbuffer* waiting = bufferevent_get_output(o.buffer.get());
    if (evbuffer_get_length(waiting) > kMostWaiting) {
        o.buffer.reset();
        return;
    }
    if (!o.up) {
        return;
    }
    std::string frame = protocol::encode_frame(m.fact);
    bufferevent_write(o.buffer.get(), frame.data(), frame.size());
}

void PeerLink::on_out_event(bufferevent*, short what, void* arg) {
    auto* o = static_cast<Outgoing*>(arg);
    if (what & BEV_EVENT_CONNECTED) {
        o->up = true;
    } else if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
        o->buffer.reset();
        o->up = false;
    }
}

void PeerLink::on_out_read(bufferevent* b, void*) {
    evbuffer* in = bufferevent_get_input(b);
    evbuffer_drain(in, evbuffer_get_length(in));  // nothing is said this way
}

void PeerLink::on_accept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* arg) {
    auto* self = static_cast<PeerLink*>(arg);
    if (self->in_.size() >= kMostIncoming) {
        self->in_.pop_front();
    }
    self->in_.emplace_back();
    auto it = std::prev(self->in_.end());
    it->link = self;
    it->self = it;
    it->buffer.reset(bufferevent_socket_new(self->base_, fd, BEV_OPT_CLOSE_ON_FREE));
    if (!it->buffer) {
        evutil_closesocket(fd);
        self->in_.erase(it);
        return;
    }
    bufferevent_setcb(it->buffer.get(), on_read, nullptr, on_gone, &*it);
    bufferevent_setwatermark(it->buffer.get(), EV_READ, 0, 2 * protocol::kMaxFrameBytes);
    bufferevent_enable(it->buffer.get(), EV_READ | EV_WRITE);
}

void PeerLink::on_read(bufferevent* b, void* arg) {
    auto* incoming = static_cast<Incoming*>(arg);
    PeerLink* self = incoming->link;
    evbuffer* in = bufferevent_get_input(b);
    while (evbuffer_get_length(in) >= 4) {
        unsigned char head[4];
        evbuffer_copyout(in, head, 4);
        std::size_t size = (std::size_t{head[0]} << 24) | (std::size_t{head[1]} << 16) |
                           (std::size_t{head[2]} << 8) | head[3];
        if (size == 0 || size > protocol::kMaxFrameBytes) {
            spdlog::warn("a peer sent a frame of {} bytes: connection closed", size);
            self->in_.erase(incoming->self);
            return;
        }
        if (evbuffer_get_length(in) < 4 + size) {
            return;
        }
        evbuffer_drain(in, 4);
        std::string frame(size, '\0');
        evbuffer_remove(in, frame.data(), size);
        auto fact = protocol::decode_frame(frame);
        if (!fact) {
            spdlog::warn("a peer sent a frame that is not understood");
            self->in_.erase(incoming->self);
            return;
        }
        for (std::size_t i = 0; i < self->peers_.size(); ++i) {
            if (self->peers_[i].name == fact->controller) {
                self->handler_(PeerInput{i, std::move(*fact)});
                break;
            }
        }
    }
}

void PeerLink::on_gone(bufferevent*, short what, void* arg) {
    auto* incoming = static_cast<Incoming*>(arg);
    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) {
        incoming->link->in_.erase(incoming->self);
    }
}

}  // namespace walkford::transport
