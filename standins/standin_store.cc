#include "standin_store.h"

#include <algorithm>
#include <cstdlib>

#include <boost/asio/write.hpp>

#include "crypto.h"

namespace comfreylock::standins {
namespace {

int64_t IntegerField(const nlohmann::json& object, const char* field) {
  auto found = object.find(field);
  if (found == object.end())
    return 0;
  if (found->is_number_integer())
    return found->get<int64_t>();
  return std::atoll(found->get<std::string>().c_str());
}

std::string BytesField(const nlohmann::json& object, const char* field) {
  return FromBase64(object.value(field, ""));
}

bool IsInRange(const std::string& key,
               const std::string& from,
               const std::string& end) {
  return end.empty() ? key == from : key >= from && key < end;
}

}  // namespace

StandinStore::StandinStore(asio::io_context& context)
    : context_(context), changed_(context) {
  changed_.expires_at(Clock::time_point::max());
}

asio::awaitable<void> StandinStore::Handle(Exchange& exchange) {
  std::string path(exchange.request.target());
  if (path.starts_with("/standin/")) {
    co_await Control(exchange);
    co_return;
  }
  ++counters_[path];
  boost::system::error_code ignored;
  auto client = exchange.stream.socket().remote_endpoint(ignored);
  ++counters_[client.address().to_string() + ":" +
              std::to_string(client.port()) + " " + path];
  if (IsHanging()) {
    ++counters_["hung"];
    co_await WaitWhileHanging();
    // The request is not carried out: its client has timed out by now.
    exchange.keep_alive = false;
    co_return;
  }
  if (IsInOutage()) {
    ++counters_["refused_away"];
    exchange.keep_alive = false;
    co_return;
  }
  if (delay_.count() > 0)
    co_await Sleep(delay_);
  ExpireLeases();
  if (path == "/v3/watch") {
    co_await Watch(exchange);
    co_return;
  }
  Json body = Json::parse(exchange.request.body(), nullptr, false);
  if (body.is_discarded()) {
    co_await Reply(exchange, 400, R"({"error":"not JSON"})");
    co_return;
  }
  using Method = Json (StandinStore::*)(const Json&);
  static const std::map<std::string, Method, std::less<>> kMethods = {
      {"/v3/kv/range", &StandinStore::Range},
      {"/v3/kv/txn", &StandinStore::Transaction},
      {"/v3/lease/grant", &StandinStore::Grant},
      {"/v3/lease/keepalive", &StandinStore::KeepAlive},
      {"/v3/lease/revoke", &StandinStore::Revoke}};
  auto method = kMethods.find(path);
  if (method == kMethods.end()) {
    co_await Reply(exchange, 404, R"({"error":"no such method"})");
    co_return;
  }
  if (CountAndCheckLimit(path == "/v3/kv/range" ? read_limit_ : write_limit_)) {
    ++counters_["over_limit"];
    co_await Reply(exchange, 429, R"({"error":"too many requests"})");
    co_return;
  }
  Json answer = (this->*method->second)(body);
  if (ShouldLoseAnswer(path)) {
    exchange.keep_alive = false;
    co_return;
  }
  co_await Reply(exchange, answer.contains("error") ? 404 : 200, answer.dump());
}

bool StandinStore::ShouldLoseAnswer(const std::string& path) {
  bool path_matches = lose_answers_path_.empty() ? path != "/v3/kv/range"
                                                 : path == lose_answers_path_;
  if (answers_to_lose_ <= 0 || !path_matches)
    return false;
  --answers_to_lose_;
  ++counters_["lost_answers"];
  return true;
}

bool StandinStore::CountAndCheckLimit(RequestLimit& limit) {
  if (limit.max_requests == 0)
    return false;
  if (Clock::now() - limit.window_start >= std::chrono::seconds(1)) {
    limit.window_start = Clock::now();
    limit.requests = 0;
  }
  return ++limit.requests > limit.max_requests;
}

void StandinStore::SetUnavailable(Clock::time_point& until,
                                  std::chrono::milliseconds time) {
  auto remaining = [this] {
    auto end = std::max(outage_until_, hang_until_);
    return std::max(end - Clock::now(), Clock::duration::zero());
  };
  ExpireLeases();
  auto remaining_before = remaining();
  until = Clock::now() + time;
  auto added = remaining() - remaining_before;
  for (auto& [id, lease] : leases_)
    lease.expires_at += added;
}

void StandinStore::Compact() {
  compact_revision_ = revision_;
  std::erase_if(changes_, [this](const Change& change) {
    return change.revision < compact_revision_;
  });
}

bool StandinStore::IsHanging() const {
  return Clock::now() < hang_until_;
}

asio::awaitable<void> StandinStore::WaitWhileHanging() {
  while (IsHanging())
    co_await Sleep(std::chrono::milliseconds(20));
}

StandinStore::Json StandinStore::Range(const Json& body) {
  std::string from = BytesField(body, "key");
  std::string end = BytesField(body, "range_end");
  int64_t limit = IntegerField(body, "limit");
  Json kvs = Json::array();
  bool more = false;
  for (auto it = values_.lower_bound(from); it != values_.end(); ++it) {
    if (!IsInRange(it->first, from, end))
      break;
    if (limit > 0 && static_cast<int64_t>(kvs.size()) >= limit) {
      more = true;
      break;
    }
    kvs.push_back(EntryJson(it->first, it->second));
  }
  return {{"header", Header()}, {"kvs", kvs}, {"more", more}};
}

StandinStore::Json StandinStore::Transaction(const Json& body) {
  bool all_equal = true;
  for (const auto& compare : body.value("compare", Json::array())) {
    auto found = values_.find(BytesField(compare, "key"));
    int64_t actual = found == values_.end() ? 0 : found->second.mod_revision;
    all_equal = all_equal && actual == IntegerField(compare, "mod_revision");
  }
  if (!all_equal)
    return {{"header", Header()}, {"succeeded", false}};
  const Json operations = body.value("success", Json::array());
  for (const auto& operation : operations) {
    const Json put = operation.value("request_put", Json::object());
    int64_t lease = IntegerField(put, "lease");
    if (lease != 0 && !leases_.contains(lease)) {
      return {{"error", "etcdserver: requested lease not found"}, {"code", 5}};
    }
  }
  if (!operations.empty())
    ++revision_;
  for (const auto& operation : operations) {
    if (operation.contains("request_put")) {
      const auto& put = operation["request_put"];
      Put(BytesField(put, "key"), BytesField(put, "value"),
          IntegerField(put, "lease"));
    } else if (operation.contains("request_delete_range")) {
      const auto& removal = operation["request_delete_range"];
      Delete(BytesField(removal, "key"), BytesField(removal, "range_end"));
    }
  }
  changed_.cancel();
  return {{"header", Header()}, {"succeeded", true}};
}

StandinStore::Json StandinStore::Grant(const Json& body) {
  std::chrono::seconds ttl(IntegerField(body, "TTL"));
  int64_t id = ++last_lease_;
  leases_[id] = {ttl, Clock::now() + ttl};
  return {{"header", Header()},
          {"ID", std::to_string(id)},
          {"TTL", std::to_string(ttl.count())}};
}

StandinStore::Json StandinStore::KeepAlive(const Json& body) {
  int64_t id = IntegerField(body, "ID");
  Json result = {{"header", Header()}, {"ID", std::to_string(id)}};
  auto found = leases_.find(id);
  if (found != leases_.end()) {
    found->second.expires_at = Clock::now() + found->second.ttl;
    result["TTL"] = std::to_string(found->second.ttl.count());
  }
  return {{"result", result}};
}

StandinStore::Json StandinStore::Revoke(const Json& body) {
  auto found = leases_.find(IntegerField(body, "ID"));
  if (found != leases_.end()) {
    found->second.expires_at = Clock::time_point::min();
    ExpireLeases();
  }
  return {{"header", Header()}};
}

asio::awaitable<void> StandinStore::Watch(Exchange& exchange) {
  exchange.keep_alive = false;
  Json body = Json::parse(exchange.request.body(), nullptr, false);
  Json create = body.is_object() ? body.value("create_request", Json::object())
                                 : Json::object();
  std::string from = BytesField(create, "key");
  std::string end = BytesField(create, "range_end");
  int64_t next_revision = IntegerField(create, "start_revision");
  if (next_revision == 0)
    next_revision = revision_ + 1;
  http::response<http::empty_body> head(http::status::ok, 11);
  head.set(http::field::content_type, "application/json");
  head.chunked(true);
  http::response_serializer<http::empty_body> serializer(head);
  co_await http::async_write_header(exchange.stream, serializer,
                                    asio::use_awaitable);
  Json created_message = {
      {"result", {{"header", Header()}, {"created", true}}}};
  std::string pending = created_message.dump() + "\n";
  if (next_revision < compact_revision_) {
    Json cancelled_message = {
        {"result",
         {{"header", Header()},
          {"canceled", true},
          {"compact_revision", std::to_string(compact_revision_)}}}};
    pending += cancelled_message.dump() + "\n";
    co_await asio::async_write(exchange.stream,
                               http::make_chunk(asio::buffer(pending)),
                               asio::use_awaitable);
    co_return;
  }
  while (!IsInOutage()) {
    co_await WaitWhileHanging();
    Json events = Json::array();
    for (const auto& change : changes_) {
      if (change.revision < next_revision || !IsInRange(change.key, from, end))
        continue;
      events.push_back({{"type", change.deleted ? "DELETE" : "PUT"},
                        {"kv", EntryJson(change.key, change.value)}});
    }
    next_revision = revision_ + 1;
    if (!events.empty()) {
      Json message = {{"result", {{"header", Header()}, {"events", events}}}};
      pending += message.dump() + "\n";
    }
    if (!pending.empty()) {
      co_await asio::async_write(exchange.stream,
                                 http::make_chunk(asio::buffer(pending)),
                                 asio::use_awaitable);
      pending.clear();
      continue;
    }
    boost::system::error_code ignored;
    asio::steady_timer poll(context_, std::chrono::milliseconds(20));
    co_await poll.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    ExpireLeases();
  }
}

asio::awaitable<void> StandinStore::Control(Exchange& exchange) {
  std::string request_target(exchange.request.target());
  std::string path = request_target.substr(0, request_target.find('?'));
  std::chrono::milliseconds time(
      std::atoll(QueryValue(request_target, "ms").c_str()));
  if (path == "/standin/outage")
    SetUnavailable(outage_until_, time);
  else if (path == "/standin/hang")
    SetUnavailable(hang_until_, time);
  else if (path == "/standin/compact")
    Compact();
  else if (path == "/standin/delay")
    delay_ = time;
  else if (path == "/standin/lose-answers") {
    answers_to_lose_ = std::atoi(QueryValue(request_target, "count").c_str());
    lose_answers_path_ = QueryValue(request_target, "path");
  } else if (path == "/standin/limits") {
    write_limit_ = {
        std::atoll(QueryValue(request_target, "writes").c_str()), 0, {}};
    read_limit_ = {
        std::atoll(QueryValue(request_target, "reads").c_str()), 0, {}};
  }
  co_await Reply(exchange, 200, Json(counters_).dump());
}

asio::awaitable<void> StandinStore::Sleep(std::chrono::milliseconds time) {
  asio::steady_timer timer(context_, time);
  co_await timer.async_wait(asio::use_awaitable);
}

StandinStore::Json StandinStore::Header() const {
  return {{"cluster_id", "1"},
          {"member_id", "1"},
          {"revision", std::to_string(revision_)},
          {"raft_term", "1"}};
}

StandinStore::Json StandinStore::EntryJson(const std::string& key,
                                           const Value& value) const {
  Json entry = {{"key", ToBase64(key)},
                {"create_revision", std::to_string(value.create_revision)},
                {"mod_revision", std::to_string(value.mod_revision)},
                {"version", std::to_string(value.version)},
                {"value", ToBase64(value.data)}};
  if (value.lease != 0)
    entry["lease"] = std::to_string(value.lease);
  return entry;
}

void StandinStore::Put(const std::string& key,
                       std::string data,
                       int64_t lease) {
  Value& value = values_[key];
  if (value.version == 0)
    value.create_revision = revision_;
  value.data = std::move(data);
  value.mod_revision = revision_;
  ++value.version;
  value.lease = lease;
  changes_.push_back({revision_, key, value, false});
}

int64_t StandinStore::Delete(const std::string& key,
                             const std::string& range_end) {
  int64_t count = 0;
  auto it = values_.lower_bound(key);
  while (it != values_.end() && IsInRange(it->first, key, range_end)) {
    Value removed;
    removed.mod_revision = revision_;
    changes_.push_back({revision_, it->first, removed, true});
    it = values_.erase(it);
    ++count;
  }
  return count;
}

void StandinStore::ExpireLeases() {
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (lease->second.expires_at > Clock::now()) {
      ++lease;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, value] : values_) {
      if (value.lease == lease->first)
        keys.push_back(key);
    }
    if (!keys.empty())
      ++revision_;
    for (const auto& key : keys)
      Delete(key, "");
    lease = leases_.erase(lease);
  }
}

bool StandinStore::IsInOutage() const {
  return Clock::now() < outage_until_;
}

}  // namespace comfreylock::standins
