#include "transport/http_client.hpp"

#include <algorithm>

namespace walkford::transport {

namespace {
constexpr ssize_t kMaxResponseBytes = ssize_t{8} * 1024 * 1024;

evhttp_cmd_type command_of(protocol::Method method) {
    switch (method) {
        case protocol::Method::get:
            return EVHTTP_REQ_GET;
        case protocol::Method::post:
            return EVHTTP_REQ_POST;
        default:
            return EVHTTP_REQ_DELETE;
    }
}
}  // namespace

HttpClient::HttpClient(event_base* base, const std::string& address, std::size_t connections,
                       long timeout_ms, bool keep_alive)
    : base_(base), address_(address), timeout_ms_(timeout_ms), keep_alive_(keep_alive) {
    HostAndPort target = split_address(address);
    host_ = std::move(target.host);
    port_ = target.port;
    connections_.resize(connections);
}

HttpClient::~HttpClient() {
    // Freeing a connection calls back for its request; no handler is to be called any more.
    for (OpenRequest* open : open_) {
        open->finished = true;
    }
    connections_.clear();
    for (OpenRequest* open : open_) {
        delete open;
    }
}

bool HttpClient::idle() const { return open_.empty() && queue_.empty(); }

void HttpClient::connect(PooledConnection& pooled) {
    pooled.connection.reset(
        evhttp_connection_base_bufferevent_new(base_, nullptr, nullptr, host_.c_str(), port_));
    if (pooled.connection) {
        evhttp_connection_set_max_body_size(pooled.connection.get(), kMaxResponseBytes);
    }
}

void HttpClient::send(protocol::HttpRequest call, ResponseHandler on_response) {
    for (std::size_t i = 0; i < connections_.size(); ++i) {
        if (!connections_[i].busy) {
            start(i, call, std::move(on_response));
            return;
        }
    }
    queue_.push_back({std::move(call), std::move(on_response)});
}

// Headers and body of a request.
void HttpClient::fill(evhttp_request* request, const protocol::HttpRequest& call) const {
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(headers, "Host", address_.c_str());
    if (!keep_alive_) {
        evhttp_add_header(headers, "Connection", "close");
    }
    if (!call.body.empty()) {
        evhttp_add_header(headers, "Content-Type", "application/msgpack");
        evbuffer_add(evhttp_request_get_output_buffer(request), call.body.data(), call.body.size());
    }
}

void HttpClient::start(std::size_t connection_index, const protocol::HttpRequest& call,
                       ResponseHandler on_response) {
    PooledConnection& pooled = connections_[connection_index];
    if (!pooled.connection) {
        connect(pooled);
    }
    pooled.busy = true;
    auto* open = new OpenRequest{this, connection_index, std::move(on_response), nullptr};
    open_.push_back(open);
    evhttp_request* request = evhttp_request_new(on_done, open);
    if (!pooled.connection || !request) {
        if (request) {
            evhttp_request_free(request);
        }
        finish(open, 0, {});
        return;
    }
    fill(request, call);
    // One deadline for the whole call: the library's own timeouts start anew with every byte.
    open->deadline.reset(evtimer_new(base_, on_deadline, open));
    timeval timeout = to_timeval(timeout_ms_);
    evtimer_add(open->deadline.get(), &timeout);
    if (evhttp_make_request(pooled.connection.get(), request, command_of(call.method),
                            call.path.c_str()) != 0) {
        // The request is freed by the library, and on_done isn't called.
        if (std::find(open_.begin(), open_.end(), open) != open_.end()) {
            finish(open, 0, {});
        }
    }
}

void HttpClient::on_done(evhttp_request* request, void* open_request) {
    auto* open = static_cast<OpenRequest*>(open_request);
    if (open->finished) {
        return;
    }
    int code = request ? evhttp_request_get_response_code(request) : 0;
    std::string body;
    if (request && code != 0) {
        evbuffer* input = evhttp_request_get_input_buffer(request);
        std::size_t size = evbuffer_get_length(input);
        if (size > 0) {
            body.assign(reinterpret_cast<const char*>(evbuffer_pullup(input, -1)), size);
        }
    }
    open->client->finish(open, code, body);
}

void HttpClient::on_deadline(evutil_socket_t, short, void* open_request) {
    auto* open = static_cast<OpenRequest*>(open_request);
    HttpClient* client = open->client;
    // The response may still come: it must not be taken for another request's, so the connection is
    // closed.
    open->finished = true;
    client->connections_[open->connection_index].connection.reset();
    client->finish(open, 0, {});
}

void HttpClient::finish(OpenRequest* open, int code, std::string_view body) {
    open->finished = true;
    std::erase(open_, open);
    std::size_t connection_index = open->connection_index;
    ResponseHandler on_response = std::move(open->on_response);
    std::unique_ptr<OpenRequest> freed(open);
    connections_[connection_index].busy = false;
    if (!queue_.empty()) {
        schedule_next(connection_index);
    }
    on_response(code, body);
}

// Sends the next request from the event loop: this may run inside the connection's own callback.
void HttpClient::schedule_next(std::size_t connection_index) {
    connections_[connection_index].busy = true;
    auto* free_connection = new FreeConnection{this, connection_index};
    timeval now{0, 0};
    event_base_once(base_, -1, EV_TIMEOUT, on_send_next, free_connection, &now);
}

void HttpClient::on_send_next(evutil_socket_t, short, void* free_connection) {
    std::unique_ptr<FreeConnection> target(static_cast<FreeConnection*>(free_connection));
    HttpClient* client = target->client;
    client->connections_[target->connection_index].busy = false;
    if (client->queue_.empty()) {
        return;
    }
    QueuedRequest next = std::move(client->queue_.front());
    client->queue_.pop_front();
    client->start(target->connection_index, next.call, std::move(next.on_response));
}

}  // namespace walkford::transport
