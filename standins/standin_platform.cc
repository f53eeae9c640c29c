#include "standin_platform.h"

#include <algorithm>
#include <charconv>

#include "crypto.h"

namespace comfreylock::platform_standins {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

/// Interval at which leases are expired and watches are answered.
constexpr milliseconds kTickInterval = 20ms;
constexpr milliseconds kReportInterval = 300ms;
constexpr uint32_t kReportedSlots = 8;
constexpr int kOk = 200;
constexpr std::string_view kRequestIdHeader = "X-Comfreylock-Request-Id";

std::string Unescape(std::string_view text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    int value = 0;
    if (text[i] == '%' && i + 2 < text.size()) {
      std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16);
      decoded += static_cast<char>(value);
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

std::string QueryParameter(const std::string& query, const std::string& name) {
  std::string padded = "&" + query;
  size_t at = padded.find("&" + name + "=");
  if (at == std::string::npos)
    return "";
  size_t begin = at + name.size() + 2;
  return Unescape(padded.substr(begin, padded.find('&', begin) - begin));
}

int64_t ParseInteger(const std::string& text) {
  int64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

}  // namespace

PlatformStoreStandin::PlatformStoreStandin(boost::asio::io_context& context,
                                           const std::string& address)
    : timer_(context),
      server_(context,
              {[this](CallId call, mesh::HttpRequest request) {
                 OnRequest(call, request);
               },
               [this](CallId call) {
                 std::erase_if(pending_watches_,
                               [call](const PendingWatch& pending) {
                                 return pending.call == call;
                               });
               },
               [] { return mesh::CallerLimits(); }}) {
  server_.Listen(address);
  Tick();
}

void PlatformStoreStandin::Put(const std::string& key,
                               const std::string& value) {
  Write(key, value, 0);
  ServeWatches();
}

void PlatformStoreStandin::Delete(const std::string& key) {
  Remove(key);
  ServeWatches();
}

std::string PlatformStoreStandin::Get(const std::string& key) const {
  auto found = items_.find(key);
  return found == items_.end() ? "" : found->second.value;
}

void PlatformStoreStandin::SaveCopy() {
  copy_ = {items_, revision_, last_lease_};
}

void PlatformStoreStandin::RestoreCopy(milliseconds outage) {
  restored_at_ = Clock::now() + outage;
  if (outage.count() == 0)
    FinishRestore();
}

void PlatformStoreStandin::FinishRestore() {
  restored_at_.reset();
  ++era_;
  items_ = copy_.items;
  std::erase_if(items_,
                [](const auto& item) { return item.second.lease != 0; });
  revision_ = copy_.revision;
  last_lease_ = copy_.last_lease;
  leases_.clear();
  history_.clear();
  oldest_revision_ = revision_ + 1;
  ServeWatches();
}

void PlatformStoreStandin::Compact() {
  history_.clear();
  oldest_revision_ = revision_ + 1;
  ServeWatches();
}

void PlatformStoreStandin::OnRequest(CallId call,
                                     const mesh::HttpRequest& request) {
  if (restored_at_) {
    Answer(call, 503, json::object());
    return;
  }
  if (failure_status_ != 0) {
    Answer(call, failure_status_, json::object());
    return;
  }
  size_t question_mark = request.request_target.find('?');
  std::string path = request.request_target.substr(0, question_mark);
  std::string query = question_mark == std::string::npos
                          ? ""
                          : request.request_target.substr(question_mark + 1);
  json body = json::parse(request.body, nullptr, false);
  ++(request.method == "GET" ? reads_ : writes_);
  std::string last_segment = path.substr(path.rfind('/') + 1);
  if (path == "/v1/kv-key") {
    OnKey(call, query);
  } else if (path == "/v1/kv-range") {
    OnRange(call, query);
  } else if (path == "/v1/kv-watch") {
    OnWatch(call, query);
  } else if (path == "/v1/kv-txn") {
    OnTransaction(call, body);
  } else if (path == "/v1/kv-lease") {
    ++grants_;
    milliseconds ttl(body.value("ttl_ms", 1000));
    leases_[++last_lease_] = {ttl, Clock::now() + ttl};
    Answer(call, 200, {{"lease", last_lease_}, {"ttl_ms", ttl.count()}});
  } else if (path.starts_with("/v1/kv-keep/")) {
    auto lease = leases_.find(ParseInteger(last_segment));
    if (lease == leases_.end()) {
      Answer(call, 404, json::object());
      return;
    }
    lease->second.expires_at = Clock::now() + lease->second.ttl;
    Answer(call, 200, {{"ttl_ms", lease->second.ttl.count()}});
  } else if (path.starts_with("/v1/kv-lease-end/")) {
    auto lease = leases_.find(ParseInteger(last_segment));
    if (lease != leases_.end())
      lease->second.expires_at = Clock::now();
    Answer(call, 200, json::object());
  } else {
    Answer(call, 404, json::object());
  }
}

json PlatformStoreStandin::ItemToJson(const std::string& key,
                                      const Item& item) const {
  return {{"key", key},
          {"value", ToBase64(item.value)},
          {"revision", item.revision},
          {"created", item.created},
          {"lease", item.lease}};
}

void PlatformStoreStandin::OnKey(CallId call, const std::string& query) {
  std::string key = QueryParameter(query, "key");
  auto found = items_.find(key);
  json body =
      found == items_.end() ? json::object() : ItemToJson(key, found->second);
  body["as_of"] = revision_;
  Answer(call, found == items_.end() ? 404 : 200, body);
}

void PlatformStoreStandin::OnRange(CallId call, const std::string& query) {
  constexpr size_t kPageSize = 3;  // Small, so that tests get several pages.
  std::string prefix = QueryParameter(query, "prefix");
  std::string after = QueryParameter(query, "after");
  json body = {
      {"items", json::array()}, {"has_more", false}, {"as_of", revision_}};
  for (const auto& [key, item] : items_) {
    if (!key.starts_with(prefix) || key <= after)
      continue;
    if (body["items"].size() == kPageSize) {
      body["has_more"] = true;
      break;
    }
    body["items"].push_back(ItemToJson(key, item));
  }
  Answer(call, 200, body);
}

void PlatformStoreStandin::OnWatch(CallId call, const std::string& query) {
  milliseconds wait(ParseInteger(QueryParameter(query, "wait_ms")));
  pending_watches_.push_back({call, QueryParameter(query, "prefix"),
                              ParseInteger(QueryParameter(query, "after")),
                              Clock::now() + wait});
  ServeWatches();
}

void PlatformStoreStandin::OnTransaction(CallId call, const json& body) {
  int status = RunTransaction(body);
  if (status != kOk) {
    Answer(call, status, {{"items", json::array()}});
    return;
  }
  ServeWatches();
  if (answers_to_lose_ > 0) {
    --answers_to_lose_;
    return;
  }
  Answer(call, status, {{"revision", revision_}});
}

int PlatformStoreStandin::RunTransaction(const json& body) {
  for (const json& row : body.at("expect")) {
    auto found = items_.find(row.at("key").get<std::string>());
    int64_t revision = found == items_.end() ? 0 : found->second.revision;
    if (revision != row.at("revision").get<int64_t>())
      return 412;
  }
  for (const json& row : body.at("writes")) {
    int64_t lease = row.value("lease", int64_t{0});
    if (lease != 0 && !leases_.contains(lease))
      return 404;
  }
  for (const json& row : body.at("writes")) {
    Write(row.at("key").get<std::string>(),
          FromBase64(row.at("value").get<std::string>()),
          row.value("lease", int64_t{0}));
  }
  for (const json& key : body.at("deletes"))
    Remove(key.get<std::string>());
  return kOk;
}

void PlatformStoreStandin::Answer(CallId call, int status, const json& body) {
  mesh::HttpAnswer answer;
  answer.status = status;
  answer.fields.emplace_back("Content-Type", "application/json");
  if (era_ != 0)
    answer.fields.emplace_back("Store-Era", std::to_string(era_));
  answer.body = body.dump();
  server_.Respond(call, std::move(answer));
}

void PlatformStoreStandin::Write(const std::string& key,
                                 const std::string& value,
                                 int64_t lease) {
  Item& item = items_[key];
  item.value = value;
  item.revision = ++revision_;
  item.lease = lease;
  if (item.created == 0)
    item.created = revision_;
  history_.push_back({key, revision_, false});
}

void PlatformStoreStandin::Remove(const std::string& key) {
  if (items_.erase(key) > 0)
    history_.push_back({key, ++revision_, true});
}

json PlatformStoreStandin::EventsAfter(const std::string& prefix,
                                       int64_t after) const {
  json events = json::array();
  for (const Change& change : history_) {
    if (change.revision <= after || !change.key.starts_with(prefix))
      continue;
    auto item = items_.find(change.key);
    if (change.removed) {
      events.push_back({{"key", change.key},
                        {"revision", change.revision},
                        {"removed", true}});
    } else if (item != items_.end()) {
      events.push_back(ItemToJson(change.key, item->second));
    }
  }
  return events;
}

void PlatformStoreStandin::ServeWatches() {
  auto now = Clock::now();
  std::vector<PendingWatch> pending = std::exchange(pending_watches_, {});
  for (const PendingWatch& watch : pending) {
    if (watch.after_revision + 1 < oldest_revision_ ||
        watch.after_revision > revision_) {
      Answer(watch.call, 410, json::object());
      continue;
    }
    json events = EventsAfter(watch.prefix, watch.after_revision);
    if (events.empty() && now < watch.answer_deadline) {
      pending_watches_.push_back(watch);
      continue;
    }
    Answer(watch.call, 200, {{"events", events}, {"as_of", revision_}});
  }
}

void PlatformStoreStandin::Tick() {
  auto now = Clock::now();
  if (restored_at_ && now >= *restored_at_)
    FinishRestore();
  std::vector<std::string> expired_keys;
  for (const auto& [key, item] : items_) {
    auto lease = leases_.find(item.lease);
    if (item.lease != 0 &&
        (lease == leases_.end() || lease->second.expires_at <= now))
      expired_keys.push_back(key);
  }
  for (const std::string& key : expired_keys)
    Remove(key);
  std::erase_if(leases_, [now](const auto& lease) {
    return lease.second.expires_at <= now;
  });
  ServeWatches();
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error)
      Tick();
  });
}

PlatformTargetStandin::PlatformTargetStandin(boost::asio::io_context& context,
                                             std::string id,
                                             std::string service,
                                             const std::string& address,
                                             const std::string& report_address)
    : context_(context),
      id_(std::move(id)),
      service_(std::move(service)),
      address_(address),
      started_at_ms_(static_cast<uint64_t>(Clock::now().time_since_epoch() /
                                           milliseconds(1))),
      server_(context,
              {[this](CallId call, mesh::HttpRequest request) {
                 OnRequest(call, std::move(request));
               },
               [](CallId) {}, [] { return mesh::CallerLimits(); }}),
      reporter_(context, report_address, {}),
      timer_(context) {
  server_.Listen(address);
  ReportPeriodically();
}

void PlatformTargetStandin::Report() {
  json body = {{"service", service_},
               {"address", address_},
               {"zone", "a"},
               {"version", "v1"},
               {"slots", kReportedSlots},
               {"state", behaviour_.state},
               {"warmup_left_ms", 0},
               {"sequence", ++sequence_},
               {"born", started_at_ms_}};
  mesh::HttpRequest request{"POST", "/v1/Instances.Heartbeat/" + id_};
  request.body = body.dump();
  request.has_body = true;
  request.fields = {{"Host", "node"}, {"Content-Type", "application/json"}};
  reporter_.Send(request, {.timeout = 1s}, [](mesh::ExchangeResult) {});
}

void PlatformTargetStandin::Deregister() {
  timer_.cancel();
  mesh::HttpRequest request{"POST", "/v1/Instances.Deregister/" + id_};
  request.has_body = true;
  request.fields = {{"Host", "node"}};
  reporter_.Send(
      request, {.timeout = 1s}, [this, request](mesh::ExchangeResult result) {
        bool answered = result.kind == mesh::ExchangeResult::Kind::kAnswered;
        if (observer_ && answered && result.answer.status == kOk)
          observer_("left", request);
      });
}

void PlatformTargetStandin::ReportPeriodically() {
  Report();
  timer_.expires_after(kReportInterval);
  timer_.async_wait([this](boost::system::error_code error) {
    if (!error)
      ReportPeriodically();
  });
}

void PlatformTargetStandin::OnRequest(CallId call, mesh::HttpRequest request) {
  std::string id(mesh::FindField(request.fields, kRequestIdHeader)
                     .value_or(std::string_view()));
  mesh::HttpAnswer answer;
  auto expected =
      mesh::FindField(request.fields, "X-Comfreylock-Expected-Instance");
  if (expected && *expected != id_) {
    answer.status = 421;
    answer.fields.emplace_back("X-Comfreylock-Instance-Id", id_);
    server_.Respond(call, std::move(answer));
    return;
  }
  if (behaviour_.sheds) {
    answer.status = 503;
    answer.fields.emplace_back("X-Comfreylock-Not-Executed", "1");
    server_.Respond(call, std::move(answer));
    return;
  }
  ++runs_[id];
  last_fields_ = request.fields;
  if (observer_)
    observer_("ran", request);
  answer.fields.emplace_back(kRequestIdHeader, id);
  if (!behaviour_.omits_signature)
    answer.fields.emplace_back("X-Comfreylock-Server-Signature", "s." + id_);
  // A request may ask for another service time and another size of its answer.
  size_t question_mark = request.request_target.find('?');
  std::string query = question_mark == std::string::npos
                          ? ""
                          : request.request_target.substr(question_mark + 1);
  std::string work_ms = QueryParameter(query, "work_ms");
  std::string bytes = QueryParameter(query, "answer_bytes");
  auto service_time = work_ms.empty() ? behaviour_.service_time
                                      : milliseconds(ParseInteger(work_ms));
  size_t answer_bytes = bytes.empty()
                            ? behaviour_.answer_bytes
                            : static_cast<size_t>(ParseInteger(bytes));
  answer.body = answer_bytes > 0 ? std::string(answer_bytes, 'x')
                                 : "answer to " + id + " of " +
                                       std::to_string(request.body.size());
  answer.close = behaviour_.fails;
  if (behaviour_.fails)
    answer.status = 500;
  auto timer =
      std::make_shared<boost::asio::steady_timer>(context_, service_time);
  timer->async_wait([this, timer, call, answer = std::move(answer)](
                        boost::system::error_code) mutable {
    server_.Respond(call, std::move(answer));
  });
}

}  // namespace comfreylock::platform_standins
