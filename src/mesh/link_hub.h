#ifndef COMFREYLOCK_MESH_LINK_HUB_H_
#define COMFREYLOCK_MESH_LINK_HUB_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "mesh/events.h"
#include "mesh/memory_budget.h"

/// Connections between nodes, over which they exchange length-prefixed frames.
namespace comfreylock::mesh {

namespace asio = boost::asio;

class LinkHub {
 public:
  using EventSink = std::function<void(EventBody)>;
  /// @return whether that many bytes more may be held; may make room for them.
  using Admission = std::function<bool(size_t bytes, MemoryBudget::Use use)>;

  /// Bounds of what the hub holds.
  struct Bounds {
    /// Charged with what is received and what is not yet sent; must outlive the
    /// hub and the frames that it has passed on.
    MemoryBudget& budget;
    Admission admission;
    /// Links that other nodes may have opened. Above it, the oldest one without
    /// a Hello is closed, or else the new one.
    size_t max_accepted = 1024;
  };

  /// @param hello sent first on each connection.
  /// @param event_sink receives the events of all links.
  LinkHub(asio::io_context& context,
          wire::Hello hello,
          EventSink event_sink,
          Bounds bounds);
  ~LinkHub();

  /// @param address IP:PORT. @throws std::exception if it cannot be bound.
  void Listen(const std::string& address);

  // Effects of the reducer.
  void Apply(const OpenLink& effect);
  void Apply(const CloseLink& effect);
  void Apply(const SendFrame& effect);
  void Apply(const SendForward& effect);

  /// Stops listening, and closes each link once the peer has received what was
  /// sent on it. Frames that arrive meanwhile are discarded.
  void CloseWhenDelivered();

  /// @return whether a peer has not yet received all that was sent to it.
  bool HasUndelivered() const;

  size_t links() const { return links_.size(); }
  /// @return links on which frames are still being written.
  size_t unfinished_writes() const { return unfinished_writes_; }
  uint64_t sent_bytes() const { return sent_bytes_; }
  uint64_t received_bytes() const { return received_bytes_; }

 private:
  class Connection;

  void Accept();
  /// Closes the accepted link that has been without a Hello for longest.
  /// @return false if there is none.
  bool CloseUngreetedLink();
  std::shared_ptr<Connection> Find(LinkId link);

  asio::io_context& context_;
  wire::Hello hello_;
  EventSink event_sink_;
  MemoryBudget& budget_;
  Admission admission_;
  size_t max_accepted_;
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_;
  std::map<LinkId, std::shared_ptr<Connection>> links_;
  uint64_t last_accepted_ = 0;
  size_t accepted_ = 0;  ///< Open links that other nodes opened.
  size_t unfinished_writes_ = 0;
  uint64_t sent_bytes_ = 0;
  uint64_t received_bytes_ = 0;
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_MESH_LINK_HUB_H_
