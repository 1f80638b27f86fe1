// Heartbeats between controllers over TCP: one outgoing connection to each peer, and one incoming
// connection from each. Frames are sent only by the side that opened the connection.
#pragma once

#include <functional>
#include <list>
#include <vector>

#include "coordination/messages/outputs.hpp"
#include "coordination/settings/platform_settings.hpp"
#include "protocol/peer_frame.hpp"
#include "transport/event_types.hpp"

namespace walkford::transport {

// Sends heartbeats to the peers and passes received ones to the handler. Delivery is best effort: a
// heartbeat that cannot be sent immediately is dropped, as the next one supersedes it.
class PeerLink {
  public:
    // Called from the event loop with each heartbeat received from a known peer.
    using Handler = std::function<void(IncomingPeerHeartbeat)>;
    // Throws std::runtime_error if listening on `listen` fails or an address is invalid.
    PeerLink(event_base* base, const std::string& listen, std::vector<Peer> peers, Handler handler);
    // Sends a heartbeat, or drops it and starts connecting if there is no connection.
    void send(const OutgoingPeerHeartbeat& message);

  private:
    struct Outgoing {
        PeerLink* link = nullptr;
        std::size_t peer = 0;
        BufferEvent buffer;
        bool connected = false;
        int attempted_sends = 0;  // heartbeats dropped while this connection was being set up
    };
    struct Incoming {
        PeerLink* link = nullptr;
        BufferEvent buffer;
        std::list<Incoming>::iterator position;  // of this object in incoming_, for erasing it
    };
    static void on_accept(evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self);
    static void on_incoming_read(bufferevent* buffer, void* incoming);
    static void on_incoming_event(bufferevent*, short events, void* incoming);
    static void on_outgoing_event(bufferevent*, short events, void* outgoing);
    static void on_outgoing_read(bufferevent* buffer, void* outgoing);
    void connect(Outgoing& outgoing);
    void close(Incoming& incoming);
    void deliver(PeerHeartbeat heartbeat);

    event_base* base_;
    std::vector<Peer> peers_;
    Handler handler_;
    Listener listener_;
    std::vector<Outgoing> outgoing_;  // by the peer's index
    std::list<Incoming> incoming_;
};

}  // namespace walkford::transport
