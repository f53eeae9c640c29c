#include "mesh/frame_check.h"

#include <gtest/gtest.h>

#include "comfreylock/types.h"

namespace comfreylock::mesh {
namespace {

wire::Frame Answer() {
  wire::Frame frame;
  frame.mutable_outcome()->set_status(200);
  frame.mutable_outcome()->set_status_text("caf\xe9 ok");
  wire::Field* field = frame.mutable_outcome()->add_fields();
  field->set_name("X-A");
  field->set_value("caf\xe9\tb");
  return frame;
}

wire::Frame Request() {
  wire::Frame frame;
  frame.mutable_forward()->set_method("M-SEARCH");
  frame.mutable_forward()->set_path("/caf\xe9?a=b");
  *frame.mutable_forward()->add_fields() = Answer().outcome().fields(0);
  return frame;
}

const std::vector<std::string>& InvalidNames() {
  static const std::vector<std::string> kNames = {
      "",   "X Y",   "X ",     " X",    "X:",
      "X(", "X\x01", "X\r\nY", "X\xe9", std::string("X\0", 2)};
  return kNames;
}

const std::vector<std::string>& InvalidValues() {
  static const std::vector<std::string> kValues = {
      "a\rb", "a\nb", "a\r\nX-B: c", std::string("a\0b", 3)};
  return kValues;
}

// Guards against refusing what nodes send.
TEST(FrameCheckTest, AcceptsAnswerAndRequest) {
  EXPECT_NO_THROW(CheckFrame(Answer()));
  EXPECT_NO_THROW(CheckFrame(Request()));
  wire::Frame not_run;
  not_run.mutable_outcome()->set_kind(wire::Outcome::NOT_RUN);
  EXPECT_NO_THROW(CheckFrame(not_run));
}

// Guards against a status of another node that callers cannot read.
TEST(FrameCheckTest, RejectsStatusOfAnswer) {
  for (uint32_t status : {0u, 42u, 99u, 100u, 199u, 600u, 999u, 1000u}) {
    wire::Frame frame = Answer();
    frame.mutable_outcome()->set_status(status);
    EXPECT_THROW(CheckFrame(frame), InputError) << status;
  }
}

// Guards against bytes of another node that become further lines of a head.
TEST(FrameCheckTest, RejectsInvalidHeadOfAnswer) {
  for (const std::string& name : InvalidNames()) {
    wire::Frame frame = Answer();
    frame.mutable_outcome()->mutable_fields(0)->set_name(name);
    EXPECT_THROW(CheckFrame(frame), InputError) << testing::PrintToString(name);
  }
  for (const std::string& value : InvalidValues()) {
    wire::Frame frame = Answer();
    frame.mutable_outcome()->mutable_fields(0)->set_value(value);
    EXPECT_THROW(CheckFrame(frame), InputError)
        << testing::PrintToString(value);
    frame = Answer();
    frame.mutable_outcome()->set_status_text(value);
    EXPECT_THROW(CheckFrame(frame), InputError)
        << testing::PrintToString(value);
  }
}

// Guards against a request of another node that its target reads differently.
TEST(FrameCheckTest, RejectsInvalidHeadOfRequest) {
  for (const std::string& name : InvalidNames()) {
    wire::Frame frame = Request();
    frame.mutable_forward()->mutable_fields(0)->set_name(name);
    EXPECT_THROW(CheckFrame(frame), InputError) << testing::PrintToString(name);
    frame = Request();
    frame.mutable_forward()->set_method(name);
    EXPECT_THROW(CheckFrame(frame), InputError) << testing::PrintToString(name);
  }
  for (const std::string& value : InvalidValues()) {
    wire::Frame frame = Request();
    frame.mutable_forward()->mutable_fields(0)->set_value(value);
    EXPECT_THROW(CheckFrame(frame), InputError)
        << testing::PrintToString(value);
    frame = Request();
    frame.mutable_forward()->set_path("/" + value);
    EXPECT_THROW(CheckFrame(frame), InputError)
        << testing::PrintToString(value);
  }
  for (const char* path : {"", "/a b", "/a\tb", "/a\x7f"}) {
    wire::Frame frame = Request();
    frame.mutable_forward()->set_path(path);
    EXPECT_THROW(CheckFrame(frame), InputError) << path;
  }
}

}  // namespace
}  // namespace comfreylock::mesh
