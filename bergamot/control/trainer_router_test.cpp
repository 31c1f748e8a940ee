#include "bergamot/control/trainer_router.h"

#include <gtest/gtest.h>

namespace bergamot
{
namespace
{

struct PathCase
{
    std::string path;
    std::optional<TrainerId> trainer;
};

class TrainerPath : public testing::TestWithParam<PathCase>
{ };

TEST_P(TrainerPath, namesItsTrainer)
{
    EXPECT_EQ(trainerIn(GetParam().path), GetParam().trainer);
}

INSTANTIATE_TEST_SUITE_P(Table,
                         TrainerPath,
                         testing::Values(PathCase{"/v1/trainers/desk/steps/1", TrainerId("desk")},
                                         PathCase{"/v1/trainers/desk", TrainerId("desk")},
                                         PathCase{"/v1/trainers/", std::nullopt},
                                         PathCase{"/v1/trainers", std::nullopt},
                                         PathCase{"/v1/intents", std::nullopt}));

TEST(TrainerOwner, staysWhereItIsWhenAnotherInstanceGoes)
{
    std::vector<InstanceId> instances;
    for (int i = 0; i < 18; ++i) {
        instances.emplace_back("i" + std::to_string(i));
    }
    const TrainerId trainer("desk");
    const InstanceId owner = *trainerOwner(trainer, instances);
    for (const InstanceId &gone : instances) {
        std::vector<InstanceId> rest = instances;
        std::erase(rest, gone);
        EXPECT_EQ(*trainerOwner(trainer, rest) == owner, gone != owner);
    }
    EXPECT_FALSE(trainerOwner(trainer, {}));
}

} // namespace
} // namespace bergamot
