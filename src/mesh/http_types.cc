#include "mesh/http_types.h"

#include <algorithm>
#include <array>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>

namespace comfreylock::mesh {
namespace {

namespace beast = boost::beast;

constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

void AppendFields(std::string& text, const Fields& fields) {
  for (const auto& [name, value] : fields) {
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
  }
}

}  // namespace

bool IsSameFieldName(std::string_view a, std::string_view b) {
  return beast::iequals(a, b);
}

std::optional<std::string_view> FindField(const Fields& fields,
                                          std::string_view name) {
  for (const auto& [field, value] : fields) {
    if (IsSameFieldName(field, name))
      return value;
  }
  return std::nullopt;
}

bool ContainsStatusLine(const HttpAnswer& answer) {
  auto contains = [](std::string_view text) {
    constexpr std::string_view kVersion = "HTTP/1.";
    for (size_t at = text.find(kVersion); at != std::string_view::npos;
         at = text.find(kVersion, at + 1)) {
      // Minor version, a space and the first digit of the status.
      std::string_view rest = text.substr(at + kVersion.size());
      if (rest.size() >= 3 && rest[1] == ' ' && rest[2] >= '1' &&
          rest[2] <= '5')
        return true;
    }
    return false;
  };
  return contains(answer.status_text) ||
         std::ranges::any_of(answer.fields, [&](const auto& field) {
           return contains(field.second);
         });
}

void RemoveConnectionFields(Fields& fields) {
  [[maybe_unused]] static const std::array<std::string_view, 10>
      kConnectionFields = {"connection",       "keep-alive",
                           "proxy-connection", "te",
                           "trailer",          "transfer-encoding",
                           "upgrade",          "content-length",
                           "expect",           "proxy-authorization"};
  // Fields that are listed in Connection are hop-by-hop as well.
  std::string named;
  for (const auto& [name, value] : fields) {
    if (IsSameFieldName(name, "connection"))
      named += "," + value;
  }
  std::erase_if(fields, [&named](const auto& field) {
    bool listed =
        std::ranges::any_of(kConnectionFields, [&field](std::string_view name) {
          return IsSameFieldName(field.first, name);
        });
    if (listed || named.empty())
      return listed;
    std::string_view rest = named;
    while (!rest.empty()) {
      size_t comma = rest.find(',');
      std::string_view item = rest.substr(0, comma);
      while (item.starts_with(' '))
        item.remove_prefix(1);
      while (item.ends_with(' '))
        item.remove_suffix(1);
      if (IsSameFieldName(field.first, item))
        return true;
      if (comma == std::string_view::npos)
        break;
      rest.remove_prefix(comma + 1);
    }
    return false;
  });
}

std::string SerializeHead(const HttpRequest& request) {
  std::string text;
  text.reserve(512);
  text += request.method;
  text += ' ';
  text += request.request_target;
  text += " HTTP/1.1\r\n";
  AppendFields(text, request.fields);
  if (request.has_body) {
    text += "Content-Length: ";
    text += std::to_string(request.Body().size());
    text += "\r\n";
  }
  text += "\r\n";
  return text;
}

std::string Serialize(const HttpRequest& request) {
  return SerializeHead(request) + request.Body();
}

std::string Serialize(const HttpAnswer& answer, bool to_head_request) {
  std::string text;
  text.reserve(256 + answer.body.size());
  text += "HTTP/1.1 ";
  text += std::to_string(answer.status);
  text += ' ';
  if (answer.status_text.empty())
    text += beast::http::obsolete_reason(
        beast::http::int_to_status(static_cast<unsigned>(answer.status)));
  else
    text += answer.status_text;
  text += "\r\n";
  AppendFields(text, answer.fields);
  bool no_body = answer.status == kNoContent || answer.status == kNotModified;
  if (!no_body && !(to_head_request && answer.body.empty())) {
    text += "Content-Length: ";
    text += std::to_string(answer.body.size());
    text += "\r\n";
  }
  if (answer.close)
    text += "Connection: close\r\n";
  text += "\r\n";
  if (!no_body && !to_head_request)
    text += answer.body;
  return text;
}

}  // namespace comfreylock::mesh
