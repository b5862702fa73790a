#include "forwarding/partdemand.h"

#include <gtest/gtest.h>

namespace cardamomlift::forwarding {

namespace {

using std::chrono::milliseconds;

const TimePoint Start(std::chrono::hours(1));
constexpr milliseconds Gap(100);

// Load: every second request has the same part, the others have each their own.
TEST(PartDemand, TellsTheShareOfAHotPart)
{
    PartDemand demand;
    TimePoint now = Start;
    for (int i = 0; i < 200; i++, now += Gap) {
        demand.noteRequest("models", i % 2 == 0 ? "hot" : "part-" + std::to_string(i), now);
    }
    EXPECT_NEAR(demand.share("models", "hot", now), 0.45, 0.1);
    EXPECT_EQ(demand.share("models", "part-199", now), 0) << "one request may be chance";
    EXPECT_EQ(demand.share("models", "", now), 0);
    EXPECT_EQ(demand.share("other", "hot", now), 0);
    EXPECT_EQ(demand.share("models", "hot", now + std::chrono::seconds(10)), 0) << "it is not hot any more";
}

// Load: more parts than are counted, and a hot one among them.
TEST(PartDemand, AHotPartIsKeptAmongVeryMany)
{
    PartDemand demand;
    TimePoint now = Start;
    for (int i = 0; i < 10'000; i++, now += milliseconds(2)) {
        demand.noteRequest("models", i % 4 == 0 ? "hot" : "part-" + std::to_string(i), now);
    }
    EXPECT_NEAR(demand.share("models", "hot", now), 0.25, 0.03);
}

} // namespace

} // namespace cardamomlift::forwarding
