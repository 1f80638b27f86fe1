// What we know of one other controller: its last message, and up to when all that its processes
// told any user is surely in our view.
#pragma once

#include <deque>
#include <map>

#include "coordination/messages/inputs.hpp"

namespace walkford {

class PeerMonitor {
  public:
    // The sequence of a message to it, and when it was sent.
    void sent(Ms now, std::uint64_t sequence);
    // Takes its message; false for one that is older than what is known. `incarnation`: ours.
    bool hear(Ms now, const PeerHeartbeat& fact, const std::string& incarnation);

    // All that it told anybody by then is in our view, given that everything told by anybody up to
    // `proven` is, and that the view holds every change up to `held`.
    Ms told_until(Ms proven, std::uint64_t held);

    const PeerHeartbeat& last() const { return process_.last; }
    bool heard_within(Ms now, Ms span) const { return heard_at_ >= 0 && now - heard_at_ <= span; }
    Ms heard_at() const { return heard_at_; }

  private:
    static constexpr std::size_t kSentKept = 240;
    static constexpr std::size_t kEarlierKept = 64;
    static constexpr Ms kFreshEcho = 3000;
    static constexpr Ms kProcessSilent = 3000;

    // One process of that controller.
    struct Process {
        PeerHeartbeat last;
        Ms began = -1;               // it began by then
        Ms vouched_until = -1;       // what it told by then ...
        std::uint64_t rests_on = 0;  // ... rests on no later change than this
    };
    // When we sent what the message echoes; -1: it echoes nothing that this process sent.
    Ms echoed_at(const PeerHeartbeat& fact, const std::string& incarnation) const;
    bool change_process(Ms now, const PeerHeartbeat& fact, Ms echoed);

    Process process_;  // the one last heard
    std::deque<Process> earlier_;
    Ms heard_at_ = -1;
    std::map<std::uint64_t, Ms> sent_;
    Ms told_until_ = -1;
};

}  // namespace walkford
