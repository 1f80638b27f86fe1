// Frames between controllers over TCP: one connection out to each peer, any number in.
#pragma once

#include <functional>
#include <list>
#include <vector>

#include "coordination/messages/outputs.hpp"
#include "coordination/settings/platform_settings.hpp"
#include "protocol/peer_frame.hpp"
#include "transport/event_types.hpp"

namespace walkford::transport {

class PeerLink {
  public:
    using Handler = std::function<void(PeerInput)>;
    PeerLink(event_base* base, const std::string& listen, std::vector<Peer> peers, Handler handler);
    void send(const PeerSend& message);

  private:
    struct Outgoing {
        PeerLink* link = nullptr;
        std::size_t peer = 0;
        BufferEvent buffer;
        bool up = false;
        int quiet = 0;  // sends since it was opened without being up
    };
    struct Incoming {
        PeerLink* link = nullptr;
        BufferEvent buffer;
        std::list<Incoming>::iterator self;
    };
    static void on_accept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self);
    static void on_read(bufferevent*, void* incoming);
    static void on_gone(bufferevent*, short what, void* incoming);
    static void on_out_event(bufferevent*, short what, void* outgoing);
    static void on_out_read(bufferevent*, void* outgoing);
    void connect(Outgoing& o);

    event_base* base_;
    std::vector<Peer> peers_;
    Handler handler_;
    Listener listener_;
    std::vector<Outgoing> out_;
    std::list<Incoming> in_;
};

}  // namespace walkford::transport
