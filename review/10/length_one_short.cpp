// A bad client states a length that is one byte too small. It must get an error or a close, not an answer
// that says that its request has run.
#include "../support-2/rig.h"

namespace {

constexpr int kTimeoutMs = 1000;

struct Case {
  const char* name;
  std::string body;
};

}  // namespace

int main(int, char** arguments) {
  signal(SIGPIPE, SIG_IGN);
  std::string folder = arguments[1];
  rig::Record record(folder + "/record.txt");
  bool trouble = rig::HasTrouble();
  std::mutex mutex;
  std::map<std::string, std::string> run;  // bodies that the backend was given, by request
  rig::Server backend([&](rig::Wire& wire) {
    rig::Message request;
    while (wire.ReadMessage(&request, rig::Now() + 100)) {
      std::string id = request.Field("request-id");
      {
        std::lock_guard<std::mutex> lock(mutex);
        run[id] = request.body;
      }
      record.Line("backend   runs %s with a body of %zu bytes", id.c_str(), request.body.size());
      rig::SleepS(0.02);
      wire.Write(rig::Response(200, "OK", "done"));
    }
  });
  rig::Discovery discovery;
  discovery.Set(rig::Discovery::Entry("s-1", backend.port()));
  rig::Counter counter;
  rig::Settings settings;
  settings.classes = {{"submit", "single_shot", 0.5, 1, 2}};
  rig::TemporaryFolder temporary;
  int port = rig::FreePort();
  rig::Gateway gateway(temporary.File("config.json"),
                       rig::Config(settings, port, discovery.port(), counter.port(), discovery.List()),
                       temporary.File("log.txt"), port);
  if (!gateway.AwaitReady()) rig::Finish(&gateway, &temporary, 2);

  const std::vector<Case> cases = {
      {"ends-in-brace", "{\"amount\": 1200}"}, {"ends-in-P", "amount=1200&unit=GBP"},
      {"ends-in-D", "amount=1200&unit=USD"},   {"ends-in-hex-C", "digest=0F3A9C"},
      {"ends-in-digit", "amount=1200"},
  };
  int served = 0;
  for (const Case& bad : cases) {
    std::string text = rig::Request("POST", "submit", bad.name, kTimeoutMs, bad.body);
    std::string stated = "Content-Length: " + std::to_string(bad.body.size());
    std::string shorter = "Content-Length: " + std::to_string(bad.body.size() - 1);
    if (trouble) text.replace(text.find(stated), stated.size(), shorter);
    rig::Wire wire(rig::Connect(port));
    wire.Write(text);  // one write: all its bytes are there at once
    rig::Message answer;
    bool whole = wire.ReadMessage(&answer, rig::Now() + 5);
    std::lock_guard<std::mutex> lock(mutex);
    size_t given = run.count(bad.name) > 0 ? run[bad.name].size() : 0;
    record.Line("client    %s: sent %zu bytes, length stated %zu; %s %d; the backend was given %zu", bad.name,
                bad.body.size(), bad.body.size() - (trouble ? 1 : 0), whole ? "answered" : "closed",
                answer.status, given);
    if (trouble && whole && answer.status == 200) ++served;
    if (!trouble && answer.status != 200) rig::Finish(&gateway, &temporary, 2);
  }
  record.Line("result    %d of %zu requests with a wrong length were served as though they had run", served,
              cases.size());
  rig::Finish(&gateway, &temporary, served > 0 ? 1 : 0);
}
