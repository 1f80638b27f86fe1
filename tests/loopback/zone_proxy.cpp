#include "loopback/zone_proxy.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>

namespace walkford::transport {

namespace {
sockaddr_in to_sockaddr(const std::string& ip, std::uint16_t port) {
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
    sockaddr_in listen_address = to_sockaddr("127.0.0.1", 0);
    link->listener.reset(evconnlistener_new_bind(
        base_, on_accept, link.get(), LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1,
        reinterpret_cast<sockaddr*>(&listen_address), sizeof listen_address));
    socklen_t size = sizeof listen_address;
    getsockname(evconnlistener_get_fd(link->listener.get()),
                reinterpret_cast<sockaddr*>(&listen_address), &size);
    links_.push_back(std::move(link));
    return "127.0.0.1:" + std::to_string(ntohs(listen_address.sin_port));
}

void ZoneProxy::cut(const std::string& from_network, const std::string& to_network) {
    cuts_.push_back({boost::asio::ip::make_network_v4(from_network),
                     boost::asio::ip::make_network_v4(to_network)});
}

void ZoneProxy::heal() {
    cuts_.clear();
    std::erase_if(streams_, [](const auto& stream) { return stream->lost_data; });
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

bool ZoneProxy::is_forward_cut(const Stream& stream) {
    return stream.link->proxy->is_cut(stream.link->from, stream.link->to);
}

bool ZoneProxy::is_backward_cut(const Stream& stream) {
    return stream.link->proxy->is_cut(stream.link->to, stream.link->from);
}

void ZoneProxy::on_accept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* link) {
    auto* accepting_link = static_cast<Link*>(link);
    accepting_link->proxy->open(*accepting_link, socket);
}

void ZoneProxy::open(Link& link, evutil_socket_t socket) {
    streams_.push_back(std::make_unique<Stream>());
    Stream* stream = streams_.back().get();
    stream->link = &link;
    stream->client.reset(bufferevent_socket_new(base_, socket, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(stream->client.get(), on_client_data, nullptr, on_event, stream);
    bufferevent_enable(stream->client.get(), EV_READ | EV_WRITE);
    if (is_forward_cut(*stream)) {
        stream->lost_data = true;
        return;
    }
    stream->server.reset(bufferevent_socket_new(base_, -1, BEV_OPT_CLOSE_ON_FREE));
    bufferevent_setcb(stream->server.get(), on_server_data, nullptr, on_event, stream);
    bufferevent_enable(stream->server.get(), EV_READ | EV_WRITE);
    auto [ip, port] = split_address(link.target);
    sockaddr_in target = to_sockaddr(ip, port);
    bufferevent_socket_connect(stream->server.get(), reinterpret_cast<sockaddr*>(&target),
                               sizeof target);
}

namespace {
// Forwards the received data, or discards it if the direction is cut.
void forward_or_discard(bufferevent* from, bufferevent* to, bool is_cut, bool& lost_data) {
    evbuffer* bytes = bufferevent_get_input(from);
    if (is_cut || !to) {
        lost_data = true;
        evbuffer_drain(bytes, evbuffer_get_length(bytes));
        return;
    }
    bufferevent_write_buffer(to, bytes);
}
}  // namespace

void ZoneProxy::on_client_data(bufferevent*, void* arg) {
    auto* stream = static_cast<Stream*>(arg);
    forward_or_discard(stream->client.get(), stream->server.get(), is_forward_cut(*stream),
                       stream->lost_data);
}

void ZoneProxy::on_server_data(bufferevent*, void* arg) {
    auto* stream = static_cast<Stream*>(arg);
    forward_or_discard(stream->server.get(), stream->client.get(), is_backward_cut(*stream),
                       stream->lost_data);
}

void ZoneProxy::on_event(bufferevent* side, short events, void* arg) {
    if ((events & BEV_EVENT_CONNECTED) != 0) {
        return;
    }
    auto* stream = static_cast<Stream*>(arg);
    bool from_client = side == stream->client.get();
    if (from_client ? is_forward_cut(*stream) : is_backward_cut(*stream)) {
        stream->lost_data = true;  // the end of the connection is not forwarded either
        bufferevent_disable(side, EV_READ);
        return;
    }
    // Data sent before the end of the connection is still delivered.
    bufferevent* other = from_client ? stream->server.get() : stream->client.get();
    if (!other || stream->closing || evbuffer_get_length(bufferevent_get_output(other)) == 0) {
        stream->link->proxy->close(stream);
        return;
    }
    stream->closing = true;
    bufferevent_disable(side, EV_READ);
    bufferevent_setcb(other, nullptr, on_drained, on_event, stream);
}

void ZoneProxy::on_drained(bufferevent*, void* arg) {
    auto* stream = static_cast<Stream*>(arg);
    stream->link->proxy->close(stream);
}

void ZoneProxy::close(Stream* stream) {
    std::erase_if(streams_, [stream](const auto& other) { return other.get() == stream; });
}

}  // namespace walkford::transport
