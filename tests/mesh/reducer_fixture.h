#ifndef COMFREYLOCK_TESTS_MESH_REDUCER_FIXTURE_H_
#define COMFREYLOCK_TESTS_MESH_REDUCER_FIXTURE_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "mesh/mesh_reducer.h"

/// A single mesh reducer whose events a test feeds one by one.
namespace comfreylock::mesh {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

class MeshReducerTest : public testing::Test {
 protected:
  MeshReducerTest() {
    identity_.node = "here";
    identity_.service = "shop";
    identity_.zone = "a";
    identity_.peer_address = "here:1";
    identity_.target_address = "here:2";
    node_ = std::make_unique<MeshReducer>(identity_, now_);
  }

  Effects Feed(EventBody event) {
    Effects effects = node_->Reduce({now_, std::move(event)});
    for (const Effect& effect : effects) {
      if (const auto* store_call = std::get_if<CallStore>(&effect))
        store_calls_.push_back(*store_call);
    }
    return effects;
  }

  Effects Advance(milliseconds time) {
    now_ += time;
    return Feed(Tick{});
  }

  template <typename T>
  static std::vector<T> All(const Effects& effects) {
    std::vector<T> found;
    for (const Effect& effect : effects) {
      if (const T* item = std::get_if<T>(&effect))
        found.push_back(*item);
    }
    return found;
  }

  static std::shared_ptr<FleetConfig> MakeConfig(uint64_t version) {
    auto config = std::make_shared<FleetConfig>();
    config->version = version;
    Route read{"read", "/read/", {{"shop", 1}}, true};
    read.max_attempts = 2;
    read.timeout = 2000ms;
    Route order{"order", "/order/", {{"shop", 1}}, false};
    order.max_attempts = 2;
    order.timeout = 2000ms;
    Route inner{"inner", "/inner/", {{"shop", 1}}, true, true};
    config->hosts["h"] = {read, order, inner};
    config->services = {"shop"};
    config->organisations["acme"] = {"acme"};
    config->keys["key"] = "acme";
    return config;
  }

  /// Puts version 5 of the configuration in force, and answers the read of the
  /// target's record: there is none.
  void Configure() {
    Feed(ConfigRead{MakeConfig(5), now_});
    Feed(Tick{});
    if (auto read = TakeTargetRecordCall())
      Feed(StoreReplied{read->call, StoreRangeResult()});
  }

  /// @return the call in progress that reads or writes the target's record,
  ///     which is removed from `store_calls_`.
  std::optional<CallStore> TakeTargetRecordCall() {
    const std::string key = "comfreylock/targets/here";
    auto found = std::ranges::find_if(store_calls_, [&](const auto& call) {
      const auto* range = std::get_if<StoreRange>(&call.request);
      const auto* write = std::get_if<StoreTransaction>(&call.request);
      return (range && range->key == key) ||
             (write && write->puts.at(0).key == key);
    });
    if (found == store_calls_.end())
      return std::nullopt;
    CallStore call = *found;
    store_calls_.erase(found);
    return call;
  }

  /// Answers the read of the target's record with this record.
  void ReplyWithTargetRecord(const wire::TargetRecord& record,
                             int64_t revision) {
    auto read = TakeTargetRecordCall();
    ASSERT_TRUE(read);
    StoreRangeResult found;
    found.entries.push_back({"comfreylock/targets/here",
                             record.SerializeAsString(), revision, revision});
    Feed(StoreReplied{read->call, found});
  }

  static TargetReported LeaveOf(const std::string& id, CallId call) {
    TargetReported leave;
    leave.report.id = id;
    leave.report.leaving = true;
    leave.call = call;
    return leave;
  }

  TargetReport MakeReport(const std::string& id,
                          uint64_t started_at_ms,
                          uint64_t sequence) {
    TargetReport report;
    report.id = id;
    report.service = "shop";
    report.address = "here:2";
    report.slots = 4;
    report.started_at_ms = started_at_ms;
    report.sequence = sequence;
    return report;
  }

  Effects SendCall(const std::string& path,
                   const std::string& key = "key",
                   const std::string& id = "",
                   milliseconds deadline = 1000ms) {
    RequestArrived event;
    event.call = CallId{++calls_};
    event.request.host = "h";
    event.request.key = key;
    event.request.deadline = deadline;
    event.request.forward = std::make_shared<wire::Forward>();
    event.request.forward->set_request_id(
        id.empty() ? "r" + std::to_string(calls_) : id);
    event.request.forward->set_method("GET");
    event.request.forward->set_path(path);
    return Feed(std::move(event));
  }

  /// Answers all pending store calls, with a lease and the records of `others`.
  /// @return the effects of the answers.
  Effects AnswerStore(
      const std::vector<std::pair<std::string, uint64_t>>& others) {
    Effects all;
    while (!store_calls_.empty()) {
      CallStore store_call = store_calls_.front();
      store_calls_.erase(store_calls_.begin());
      StoreResult result = StoreTransactionResult{true, 1};
      if (const auto* range = std::get_if<StoreRange>(&store_call.request)) {
        StoreRangeResult found;
        if (!range->range_end.empty())
          found.entries = MakeRecords(others);
        result = found;
      } else if (!std::holds_alternative<StoreTransaction>(
                     store_call.request)) {
        result = StoreLeaseResult{1, 9s};
      }
      Effects effects = Feed(StoreReplied{store_call.call, result});
      CollectOpenLinks(effects);
      std::ranges::move(effects, std::back_inserter(all));
    }
    return all;
  }

  /// @return the address at which other nodes reach the node of this name.
  static std::string AddressOf(const std::string& name) {
    auto found = std::ranges::find(Names(), name);
    auto number = found - Names().begin() + 1;
    if (found == Names().end())
      Names().push_back(name);
    return "127.0.0." + std::to_string(number) + ":1";
  }

  static std::string NameOf(const std::string& address) {
    auto found = std::ranges::find(Names(), address, AddressOf);
    return found == Names().end() ? "" : *found;
  }

  /// Names of the other nodes, in the order of their addresses.
  static std::vector<std::string>& Names() {
    static std::vector<std::string> names;
    return names;
  }

  std::vector<StoreEntry> MakeRecords(
      const std::vector<std::pair<std::string, uint64_t>>& nodes) const {
    std::vector<StoreEntry> entries;
    for (const auto& [name, incarnation] : nodes) {
      wire::NodeRecord record;
      record.mutable_node()->set_node(name);
      record.mutable_node()->set_service(recorded_service_);
      record.mutable_node()->set_zone("a");
      record.mutable_node()->set_boot(incarnation);
      record.set_address(AddressOf(name));
      entries.push_back(
          {"comfreylock/nodes/" + name, record.SerializeAsString()});
    }
    return entries;
  }

  void CollectOpenLinks(const Effects& effects) {
    for (const OpenLink& open : All<OpenLink>(effects))
      opened_links_.push_back(open);
  }

  /// Opens a link to another node whose target serves the same service.
  LinkId ConnectNode(const std::string& name) {
    Feed(Tick{});
    AnswerStore({{name, 1}});
    auto open =
        std::ranges::find(opened_links_, AddressOf(name), &OpenLink::address);
    LinkId link = open->link;
    wire::Hello hello;
    hello.set_node(name);
    Feed(LinkOpened{link, hello, false});
    SendLoad(link);
    return link;
  }

  void SendLoad(LinkId link) {
    auto frame = std::make_shared<wire::Frame>();
    frame->mutable_load()->set_serving(true);
    frame->mutable_load()->set_slots(10);
    frame->mutable_load()->set_service("shop");
    Feed(FrameReceived{link, frame});
  }

  /// @return a request that another node forwards.
  static std::shared_ptr<wire::Frame> ForwardFrame(
      uint64_t stream,
      TimePoint sent,
      milliseconds remaining = 1000ms) {
    auto frame = std::make_shared<wire::Frame>();
    wire::Forward* forward = frame->mutable_forward();
    forward->set_stream(stream);
    forward->set_service("shop");
    forward->set_request_id("f" + std::to_string(stream));
    forward->set_route("read");
    forward->set_remaining_ms(static_cast<uint32_t>(remaining.count()));
    forward->set_useful_ms(static_cast<uint32_t>(remaining.count()));
    forward->set_sent_us(
        static_cast<uint64_t>(sent.time_since_epoch().count()));
    return frame;
  }

  Effects SendOutcome(LinkId link,
                      uint64_t stream,
                      wire::Outcome::Kind kind,
                      uint32_t status = 200) {
    auto frame = std::make_shared<wire::Frame>();
    frame->mutable_outcome()->set_stream(stream);
    frame->mutable_outcome()->set_kind(kind);
    frame->mutable_outcome()->set_status(status);
    return Feed(FrameReceived{link, frame});
  }

  NodeIdentity identity_;
  std::unique_ptr<MeshReducer> node_;
  TimePoint now_{100s};
  std::vector<CallStore> store_calls_;
  std::vector<OpenLink> opened_links_;
  std::string recorded_service_ = "shop";  ///< In the records of other nodes.
  uint64_t calls_ = 0;
};

}  // namespace comfreylock::mesh

#endif  // COMFREYLOCK_TESTS_MESH_REDUCER_FIXTURE_H_
