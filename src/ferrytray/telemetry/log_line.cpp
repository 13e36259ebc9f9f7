#include "ferrytray/telemetry/log_line.hpp"

#include <glog/logging.h> // for LOG, InitGoogleLogging

#include "ferrytray/telemetry/line_sink.hpp" // for LineSink

namespace ferrytray::telemetry {

namespace {

bool IsPlain(std::string_view aValue)
{
  return !aValue.empty() && aValue.find_first_of(" \"=\n\r\t") == std::string_view::npos;
}

void AppendQuoted(std::string& aText, std::string_view aValue)
{
  aText.push_back('"');
  for (const char byte : aValue) {
    if (byte == '"' || byte == '\\') {
      aText.push_back('\\');
    }
    const bool control = static_cast<unsigned char>(byte) < ' ';
    aText.push_back(control ? '?' : byte);
  }
  aText.push_back('"');
}

LineSink* s_sink = nullptr;

} // namespace

void SetLineSink(LineSink* aSink)
{
  s_sink = aSink;
}

LogLine::LogLine(std::string_view aEvent)
  : m_text("event=" + std::string(aEvent))
{
}

LogLine::~LogLine()
{
  if (s_sink != nullptr) {
    s_sink->Write(m_text);
  } else {
    LOG(INFO) << m_text;
  }
}

LogLine& LogLine::Add(std::string_view aKey, std::string_view aValue)
{
  m_text.append(" ").append(aKey).append("=");
  if (IsPlain(aValue)) {
    m_text.append(aValue);
  } else {
    AppendQuoted(m_text, aValue);
  }
  return *this;
}

void StartLogging(const char* aProgram)
{
  FLAGS_logtostderr = true;
  FLAGS_logbuflevel = -1;
  google::InitGoogleLogging(aProgram);
}

} // namespace ferrytray::telemetry
