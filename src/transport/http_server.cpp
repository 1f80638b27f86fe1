#include "transport/http_server.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <stdexcept>

#include "protocol/field_names.hpp"

namespace walkford::transport {

namespace {
constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024;
constexpr ssize_t kMaxHeaderBytes = ssize_t{8} * 1024;
constexpr int kIdleTimeoutS = 30;
constexpr std::size_t kMaxLoggedPathLength = 60;
constexpr std::size_t kMinBacklog = 128;
constexpr std::size_t kMaxBacklog = 4096;
constexpr timeval kAcceptRetryDelay{0, 50000};  // 50 ms

protocol::Method to_method(evhttp_request* request) {
    switch (evhttp_request_get_command(request)) {
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

const char* reason_phrase(int code) {
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

void send(evhttp_request* request, const protocol::HttpResponse& reply, bool close = false) {
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    if (close) {
        evhttp_add_header(headers, "Connection", "close");
    }
    evhttp_add_header(headers, "Content-Type", "application/msgpack");
    if (reply.retry_after_s > 0) {
        evhttp_add_header(headers, "Retry-After", std::to_string(reply.retry_after_s).c_str());
    }
    evbuffer* output = evhttp_request_get_output_buffer(request);
    evbuffer_add(output, reply.body.data(), reply.body.size());
    evhttp_send_reply(request, reply.code, reason_phrase(reply.code), nullptr);
}
}  // namespace

HttpServer::HttpServer(event_base* base, const std::string& address, std::size_t max_connections,
                       Handler handler)
    : http_(evhttp_new(base)), handler_(std::move(handler)), max_connections_(max_connections) {
    if (!http_) {
        throw std::runtime_error("failed to create the HTTP server: out of memory");
    }
    evhttp_set_allowed_methods(http_.get(), EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                                EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD |
                                                EVHTTP_REQ_PATCH | EVHTTP_REQ_OPTIONS);
    evhttp_set_max_headers_size(http_.get(), kMaxHeaderBytes);
    // Reads bodies somewhat larger than the limit so that they can be answered with status 400;
    // beyond that, the connection is closed.
    evhttp_set_max_body_size(http_.get(), 4 * kMaxBodyBytes);
    evhttp_set_timeout(http_.get(), kIdleTimeoutS);
    evhttp_set_gencb(http_.get(), on_request, this);
    auto [host, port] = split_address(address);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(port);
    if (inet_pton(AF_INET, host.c_str(), &name.sin_addr) != 1) {
        throw std::runtime_error("invalid listen address " + address +
                                 ": expected an IPv4 address");
    }
    // evhttp's default listener has a backlog of 128, but after a leader election two thousand
    // workers connect at once.
    int backlog = static_cast<int>(std::clamp(max_connections, kMinBacklog, kMaxBacklog));
    Listener listener(evconnlistener_new_bind(
        base, nullptr, nullptr, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
        backlog, reinterpret_cast<sockaddr*>(&name), sizeof name));
    if (!listener) {
        throw std::runtime_error("failed to listen for HTTP on " + address);
    }
    socklen_t size = sizeof name;
    if (getsockname(evconnlistener_get_fd(listener.get()), reinterpret_cast<sockaddr*>(&name),
                    &size) == 0) {
        port_ = ntohs(name.sin_port);
    }
    if (!evhttp_bind_listener(http_.get(), listener.get())) {
        throw std::runtime_error("failed to listen for HTTP on " + address);
    }
    evconnlistener_set_error_cb(listener.release(), on_accept_error);  // now owned by http_
}

// The process has run out of file descriptors. Pauses the listener, which would otherwise fail
// repeatedly for the same pending connection.
void HttpServer::on_accept_error(evconnlistener* listener, void*) {
    evconnlistener_disable(listener);
    event_base_once(evconnlistener_get_base(listener), -1, EV_TIMEOUT, on_accept_retry, listener,
                    &kAcceptRetryDelay);
}

void HttpServer::on_accept_retry(evutil_socket_t, short, void* listener) {
    evconnlistener_enable(static_cast<evconnlistener*>(listener));
}

HttpServer::~HttpServer() {
    // Freeing the server closes its connections, whose callbacks must not access this object while
    // it is being destroyed.
    for (auto& [connection, info] : connections_) {
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
    }
}

void HttpServer::on_request(evhttp_request* request, void* self) {
    static_cast<HttpServer*>(self)->receive(request);
}

void HttpServer::on_close(evhttp_connection* connection, void* self) {
    auto* server = static_cast<HttpServer*>(self);
    server->connections_.erase(connection);
    std::erase_if(server->pending_requests_, [connection](const auto& entry) {
        return evhttp_request_get_connection(entry.second) == connection;
    });
}

// Records that a connection was used. A new connection may cause an idle one to be closed.
HttpServer::Connection& HttpServer::track_connection(evhttp_request* request,
                                                     std::string_view path) {
    evhttp_connection* handle = evhttp_request_get_connection(request);
    auto [entry, inserted] = connections_.try_emplace(handle);
    Connection& connection = entry->second;
    if (inserted) {
        ++accepted_connections_;
        evhttp_connection_set_closecb(handle, on_close, this);
    }
    connection.last_use = ++use_counter_;
    if (path.starts_with(protocol::worker_fields::kPathPrefix)) {
        connection.used_by_worker = true;
    }
    if (inserted) {
        close_idle_connection();
    }
    return connection;
}

void HttpServer::receive(evhttp_request* request) {
    const char* uri = evhttp_request_get_uri(request);
    std::string_view path = uri ? uri : "";
    Connection& connection = track_connection(request, path);

    evbuffer* input = evhttp_request_get_input_buffer(request);
    std::size_t size = evbuffer_get_length(input);
    if (size > kMaxBodyBytes) {
        send(request, protocol::error_response(400, "body over 64 KiB"));
        return;
    }
    std::string_view body;
    if (size > 0) {
        body = {reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), size};
    }
    RequestId id = next_request_id_++;
    protocol::ParsedRequest parsed = protocol::parse_request(id, to_method(request), path, body);
    if (auto* reply = std::get_if<protocol::HttpResponse>(&parsed)) {
        if (reply->code == 400) {
            spdlog::debug("rejected malformed request to {} with status 400",
                          std::string(path.substr(0, kMaxLoggedPathLength)));
        }
        send(request, *reply);
        return;
    }
    pending_requests_[id] = request;
    ++connection.pending;
    handler_(std::move(std::get<Input>(parsed)));
}

void HttpServer::send_response(RequestId id, const protocol::HttpResponse& reply) {
    auto found = pending_requests_.find(id);
    if (found == pending_requests_.end()) {
        return;  // the connection has been closed
    }
    evhttp_request* request = found->second;
    pending_requests_.erase(found);
    auto connection = connections_.find(evhttp_request_get_connection(request));
    bool used_by_worker = connection != connections_.end() && connection->second.used_by_worker;
    if (connection != connections_.end() && connection->second.pending > 0) {
        --connection->second.pending;
    }
    // If more than three quarters of the connections are in use, workers have to reconnect for each
    // report, as there may be more workers than sockets. Closing a connection with the response is
    // harmless; closing it between reports may hit a worker that is about to send one.
    bool nearly_full = connections_.size() * 4 > max_connections_ * 3;
    send(request, reply, used_by_worker && nearly_full);
}

// Closes the connection that has been idle longest, preferring users' connections over workers'.
// File descriptors are scarce, and some must remain for peers, the store and pending requests.
void HttpServer::close_idle_connection() {
    if (connections_.size() <= max_connections_) {
        return;
    }
    evhttp_connection* victim = nullptr;
    bool victim_is_worker = true;
    std::uint64_t oldest_use = use_counter_;
    for (const auto& [handle, connection] : connections_) {
        // Skips the connection whose request is being received, which is the last one used.
        if (connection.pending > 0 || connection.last_use >= use_counter_) {
            continue;
        }
        bool preferred = connection.used_by_worker == victim_is_worker
                             ? connection.last_use < oldest_use
                             : !connection.used_by_worker;
        if (preferred) {
            victim = handle;
            victim_is_worker = connection.used_by_worker;
            oldest_use = connection.last_use;
        }
    }
    if (victim) {
        evhttp_connection_free(victim);
    }
}

}  // namespace walkford::transport
