#include "loopback/zone_proxy.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>

namespace walkford::transport {

namespace {
sockaddr_in socket_address(const std::string& ip, std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}
}  // namespace

std::string ZoneProxy::link(const std::string& from, const std::string& target) {
    auto link = std::make_unique<Link>();
    link->proxy = this;
    link->from = boost::asio::ip::make_address_v4(from);
    link->to = boost::asio::ip::make_address_v4(split_address(target).host);
    link->target = target;
    sockaddr_in here = socket_address("127.0.0.1", 0);
    link->listener.reset(evconnlistener_new_bind(base_, on_accept, link.get(),
                                                 LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
                                                 reinterpret_cast<sockaddr*>(&here), sizeof here));
    socklen_t size = sizeof here;
    getsockname(evconnlistener_get_fd(link->listener.get()), reinterpret_cast<sockaddr*>(&here),
                &size);
    links_.push_back(std::move(link));
    return "127.0.0.1:" + std::to_string(ntohs(here.sin_port));
}

void ZoneProxy::cut(const std::string& from_network, const std::string& to_network) {
    cuts_.push_back({boost::asio::ip::make_network_v4(from_network),
                     boost::asio::ip::make_network_v4(to_network)});
}

void ZoneProxy::heal() {
    cuts_.clear();
    std::erase_if(streams_, [](const auto& stream) { return stream->lossy; });
}

bool ZoneProxy::contains(const Network& network, const Address& address) {
    Network of_address(address, network.prefix_length());
    return of_address.canonical() == network.canonical();
}

bool ZoneProxy::is_cut(const Address& from, const Address& to) const {
    return std::any_of(cuts_.begin(), cuts_.end(), [&](const Cut& cut) {
        return contains(cut.from, from) && contains(cut.to, to);
    });
}

bool ZoneProxy::forward_cut(const Stream& stream) {
    return stream.link->proxy->is_cut(stream.link->from, stream.link->to);
}

bool ZoneProxy::backward_cut(const Stream& stream) {
    return stream.link->proxy->is_cut(stream.link->to, stream.link->from);
}

void ZoneProxy::on_accept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* link) {
    auto* there = static_cast<Link*>(link);
    there->proxy->open(*there, fd);
}

void ZoneProxy::open(Link& link, evutil_socket_t fd) {
    streams_.push_back(std::make_unique<Stream>());
    Stream* stream = streams_.back().get();
    stream->link = &link;
    stream->client.reset(bufferevent_socket_new(base_, fd, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(stream->client.get(), on_client_bytes, nullptr, on_event, stream);
    bufferevent_enable(stream->client.get(), EV_READ | EV_WRITE);
    if (forward_cut(*stream)) {
        stream->lossy = true;
        return;
    }
    stream->server.reset(bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(stream->server.get(), on_server_bytes, nullptr, on_event, stream);
    bufferevent_enable(stream->server.get(), EV_READ | EV_WRITE);
    auto [ip, port] = split_address(link.target);
    sockaddr_in target = socket_address(ip, port);
    bufferevent_socket_connect(stream->server.get(), reinterpret_cast<sockaddr*>(&target),
                               sizeof target);
}

namespace {
// Moves what has come in, or loses it.
void pass_on(bufferevent* from, bufferevent* to, bool is_cut, bool& lossy) {
    evbuffer* bytes = bufferevent_get_input(from);
    if (is_cut || !to) {
        lossy = true;
        evbuffer_drain(bytes, evbuffer_get_length(bytes));
        return;
    }
    bufferevent_write_buffer(to, bytes);
}
}  // namespace

void ZoneProxy::on_client_bytes(bufferevent*, void* stream) {
    auto* s = static_cast<Stream*>(stream);
    pass_on(s->client.get(), s->server.get(), forward_cut(*s), s->lossy);
}

void ZoneProxy::on_server_bytes(bufferevent*, void* stream) {
    auto* s = static_cast<Stream*>(stream);
    pass_on(s->server.get(), s->client.get(), backward_cut(*s), s->lossy);
}

void ZoneProxy::on_event(bufferevent* side, short what, void* stream) {
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        return;
    }
    auto* s = static_cast<Stream*>(stream);
    bool from_client = side == s->client.get();
    if (from_client ? forward_cut(*s) : backward_cut(*s)) {
        s->lossy = true;  // the end is not heard either
        bufferevent_disable(side, EV_READ);
        return;
    }
    // What was sent before the end still arrives.
    bufferevent* other = from_client ? s->server.get() : s->client.get();
    if (!other || s->closing || evbuffer_get_length(bufferevent_get_output(other)) == 0) {
        s->link->proxy->close(s);
        return;
    }
    s->closing = true;
    bufferevent_disable(side, EV_READ);
    bufferevent_setcb(other, nullptr, on_drained, on_event, s);
}

void ZoneProxy::on_drained(bufferevent*, void* stream) {
    auto* s = static_cast<Stream*>(stream);
    s->link->proxy->close(s);
}

void ZoneProxy::close(Stream* stream) {
    std::erase_if(streams_, [stream](const auto& other) { return other.get() == stream; });
}

}  // namespace walkford::transport
