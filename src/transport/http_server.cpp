#include "transport/http_server.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <stdexcept>

#include "protocol/field_names.hpp"

namespace walkford::transport {

namespace {
constexpr std::size_t kMostBody = std::size_t{64} * 1024;
constexpr ssize_t kMostHeaders = ssize_t{8} * 1024;
constexpr int kIdleSeconds = 30;

protocol::Method method_of(evhttp_request* r) {
    switch (evhttp_request_get_command(r)) {
        case EVHTTP_REQ_GET:
            return protocol::Method::get;
        case EVHTTP_REQ_POST:
            return protocol::Method::post;
        case EVHTTP_REQ_DELETE:
            return protocol::Method::del;
        default:
            return protocol::Method::other;
    }
}

const char* reason(int code) {
    switch (code) {
        case 200:
            return "OK";
        case 201:
            return "Created";
        case 400:
            return "Bad Request";
        case 404:
            return "Not Found";
        case 405:
            return "Method Not Allowed";
        case 421:
            return "Misdirected Request";
        case 422:
            return "Unprocessable Content";
        case 429:
            return "Too Many Requests";
        default:
            return "Service Unavailable";
    }
}

void send(evhttp_request* request, const protocol::HttpReply& reply, bool close = false) {
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    if (close) {
        evhttp_add_header(headers, "Connection", "close");
    }
    evhttp_add_header(headers, "Content-Type", "application/msgpack");
    if (reply.retry_after_s > 0) {
        evhttp_add_header(headers, "Retry-After", std::to_string(reply.retry_after_s).c_str());
    }
    evbuffer* out = evhttp_request_get_output_buffer(request);
    evbuffer_add(out, reply.body.data(), reply.body.size());
    evhttp_send_reply(request, reply.code, reason(reply.code), nullptr);
}
}  // namespace

HttpServer::HttpServer(event_base* base, const std::string& address, std::size_t most,
                       Handler handler)
    : http_(evhttp_new(base)), handler_(std::move(handler)), most_(most) {
    if (!http_) {
        throw std::runtime_error("no memory for the HTTP server");
    }
    evhttp_set_allowed_methods(http_.get(), EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                                EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD |
                                                EVHTTP_REQ_PATCH | EVHTTP_REQ_OPTIONS);
    evhttp_set_max_headers_size(http_.get(), kMostHeaders);
    // A little more than is allowed is read, so that it can be answered 400; beyond that the
    // connection goes.
    evhttp_set_max_body_size(http_.get(), 4 * kMostBody);
    evhttp_set_timeout(http_.get(), kIdleSeconds);
    evhttp_set_gencb(http_.get(), on_request, this);
    auto [host, port] = split_address(address);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(port);
    if (inet_pton(AF_INET, host.c_str(), &name.sin_addr) != 1) {
        throw std::runtime_error("not an IPv4 address: " + address);
    }
    // evhttp's own socket lets 128 wait; after an election two thousand workers come at once.
    int backlog = static_cast<int>(std::min<std::size_t>(std::max<std::size_t>(most, 128), 4096));
    Listener listener(evconnlistener_new_bind(
        base, nullptr, nullptr, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
        backlog, reinterpret_cast<sockaddr*>(&name), sizeof name));
    if (!listener) {
        throw std::runtime_error("can't listen on " + address);
    }
    socklen_t size = sizeof name;
    if (getsockname(evconnlistener_get_fd(listener.get()), reinterpret_cast<sockaddr*>(&name),
                    &size) == 0) {
        port_ = ntohs(name.sin_port);
    }
    if (!evhttp_bind_listener(http_.get(), listener.get())) {
        throw std::runtime_error("can't listen on " + address);
    }
    evconnlistener_set_error_cb(listener.release(), on_accept_error);  // the server's from now on
}

// No socket is left: the listener would be told again and again that somebody waits.
void HttpServer::on_accept_error(evconnlistener* listener, void*) {
    evconnlistener_disable(listener);
    timeval soon{0, 50000};
    event_base_once(evconnlistener_get_base(listener), -1, EV_TIMEOUT, on_accept_again, listener,
                    &soon);
}

void HttpServer::on_accept_again(evutil_socket_t, short, void* listener) {
    evconnlistener_enable(static_cast<evconnlistener*>(listener));
}

HttpServer::~HttpServer() {
    // Freeing the server closes its connections; none may call back into a half-gone object.
    for (auto& [connection, info] : connections_) {
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
    }
}

void HttpServer::on_request(evhttp_request* request, void* self) {
    static_cast<HttpServer*>(self)->take(request);
}

void HttpServer::on_close(evhttp_connection* connection, void* self) {
    auto* server = static_cast<HttpServer*>(self);
    server->connections_.erase(connection);
    for (auto it = server->open_.begin(); it != server->open_.end();) {
        if (evhttp_request_get_connection(it->second) == connection) {
            it = server->open_.erase(it);
        } else {
            ++it;
        }
    }
}

void HttpServer::take(evhttp_request* request) {
    evhttp_connection* connection = evhttp_request_get_connection(request);
    auto [it, fresh] = connections_.try_emplace(connection);
    if (fresh) {
        ++accepted_;
        evhttp_connection_set_closecb(connection, on_close, this);
    }
    it->second.used = ++clock_;
    const char* uri = evhttp_request_get_uri(request);
    std::string_view path = uri ? uri : "";
    if (path.starts_with(protocol::worker_fields::kPathPrefix)) {
        it->second.worker = true;
    }
    if (fresh) {
        shed();
    }

    evbuffer* in = evhttp_request_get_input_buffer(request);
    std::size_t size = evbuffer_get_length(in);
    if (size > kMostBody) {
        send(request, protocol::error_reply(400, "body over 64 KiB"));
        return;
    }
    std::string_view body;
    if (size > 0) {
        body = {reinterpret_cast<const char*>(evbuffer_pullup(in, -1)), size};
    }
    RequestId id = next_++;
    protocol::ParsedRequest parsed = protocol::parse_request(id, method_of(request), path, body);
    if (auto* reply = std::get_if<protocol::HttpReply>(&parsed)) {
        if (reply->code == 400) {
            spdlog::debug("refused {}: 400", std::string(path.substr(0, 60)));
        }
        send(request, *reply);
        return;
    }
    open_[id] = request;
    ++it->second.open;
    handler_(std::move(std::get<Input>(parsed)));
}

void HttpServer::answer(RequestId id, const protocol::HttpReply& reply) {
    auto it = open_.find(id);
    if (it == open_.end()) {
        return;  // its connection is gone
    }
    evhttp_request* request = it->second;
    open_.erase(it);
    auto c = connections_.find(evhttp_request_get_connection(request));
    bool worker = c != connections_.end() && c->second.worker;
    if (c != connections_.end() && c->second.open > 0) {
        --c->second.open;
    }
    // With more workers than sockets, those who come while it is crowded connect anew each time:
    // one that is closed with its answer loses nothing, one that is closed between two may be
    // just about to report.
    send(request, reply, worker && connections_.size() * 4 > most_ * 3);
}

// Sockets are few: the connection that has been idle longest goes first, a user's before a
// worker's, so that peers, the state service and whoever is being answered always find room.
void HttpServer::shed() {
    if (connections_.size() <= most_) {
        return;
    }
    evhttp_connection* victim = nullptr;
    std::pair<bool, std::uint64_t> oldest{true, clock_};
    for (const auto& [connection, info] : connections_) {
        // Never the one whose request is being taken: it is the last one used.
        if (info.open == 0 && info.used < clock_ && std::pair{info.worker, info.used} < oldest) {
            oldest = {info.worker, info.used};
            victim = connection;
        }
    }
    if (victim) {
        evhttp_connection_free(victim);
    }
}

}  // namespace walkford::transport
