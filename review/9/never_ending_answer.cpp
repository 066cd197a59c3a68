// A backend sends an answer that never ends, as fast as it is read. The request that it belongs to must still
// get its final answer in time.
#include "../support-2/rig.h"

namespace {

constexpr double kGraceS = 0.5;  // "up to half a second after its time it only earns nothing; later ... lost"
constexpr int kBackends = 4;
constexpr int kClients = 10;
constexpr int kTimeoutMs = 1000;
constexpr double kWorkS = 0.8;        // from the request to the first byte of its answer
constexpr double kLimitS = 30;        // for which an answer is awaited
constexpr size_t kLineBytes = 15000;  // of each chunk's extension

struct Result {
  int status = 0;
  double after_s = 0;
  bool whole = false;
};

}  // namespace

int main(int, char** arguments) {
  signal(SIGPIPE, SIG_IGN);
  std::string folder = arguments[1];
  rig::Record record(folder + "/record.txt");
  bool trouble = rig::HasTrouble();

  // The answer comes in chunks of one byte, each with a long extension (RFC 9112, 7.1.1).
  std::string chunk = "1;x=" + std::string(kLineBytes, 'x') + "\r\ny\r\n";
  std::string endless;
  for (int i = 0; i < 16; ++i) endless += chunk;
  auto serve = [&](rig::Wire& wire) {
    rig::Message request;
    while (wire.ReadMessage(&request, rig::Now() + 100)) {
      std::string id = request.Field("request-id");
      record.Line("backend   begins %s, time left %s ms", id.c_str(),
                  request.Field("request-timeout-ms").c_str());
      if (request.start.find("/long") == std::string::npos) {
        wire.Write(rig::Response(200, "OK", "fine"));
        continue;
      }
      rig::SleepS(kWorkS);
      wire.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      if (!trouble) {
        wire.Write("4\r\nfine\r\n0\r\n\r\n");
        continue;
      }
      double begun = rig::Now();
      double sent_mb = 0;
      while (wire.Write(endless)) sent_mb += static_cast<double>(endless.size()) / 1e6;
      record.Line("backend   answer of %s was cut by the gateway after %.3f s, %.0f MB", id.c_str(),
                  rig::Now() - begun, sent_mb);
      return;
    }
  };
  std::vector<std::unique_ptr<rig::Server>> backends;
  std::string entries;
  for (int i = 0; i < kBackends; ++i) {
    backends.push_back(std::make_unique<rig::Server>(serve));
    entries += (i > 0 ? "," : "") + rig::Discovery::Entry("s-" + std::to_string(i), backends.back()->port());
  }
  rig::Discovery discovery;
  discovery.Set(entries);
  rig::Counter counter;
  rig::Settings settings;
  settings.classes = {{"submit", "single_shot", 0.9, 1.0, 2}, {"lookup", "free", 0.9, 1.0, 2}};
  rig::TemporaryFolder temporary;
  int port = rig::FreePort();
  rig::Gateway gateway(temporary.File("config.json"),
                       rig::Config(settings, port, discovery.port(), counter.port(), discovery.List()),
                       temporary.File("log.txt"), port);
  if (!gateway.AwaitReady()) rig::Finish(&gateway, &temporary, 2);

  std::vector<Result> results(kClients);
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      std::string id = "long-" + std::to_string(i);
      rig::Wire wire(rig::Connect(port));
      double sent = rig::Now();
      wire.Write(rig::Request("POST", "submit/long", id, kTimeoutMs, "x", 0x90 + i));
      record.Line("client    sent %s, its time is %d ms", id.c_str(), kTimeoutMs);
      rig::Message answer;
      results[i].whole = wire.ReadMessage(&answer, sent + kLimitS);
      results[i].status = answer.status;
      results[i].after_s = rig::Now() - sent;
      record.Line("client    %s: %s %d after %.3f s", id.c_str(),
                  results[i].whole ? "answered" : "no answer,", answer.status, results[i].after_s);
    });
  }
  for (std::thread& client : clients) client.join();

  int lost = 0;
  int reached = 0;
  for (const Result& result : results) {
    if (!result.whole || result.after_s > kTimeoutMs / 1000.0 + kGraceS) ++lost;
    if (result.after_s > kWorkS) ++reached;
  }
  record.Line("result    %d of %d requests had no final answer %.1f s after their time", lost, kClients,
              kGraceS);
  if (reached == 0) rig::Finish(&gateway, &temporary, 2);  // none was forwarded
  rig::Finish(&gateway, &temporary, lost > 0 ? 1 : 0);
}
