#include "entry_program.h"
#include "kernel/program_options.h"

int main(int argc, char** argv)
{
    mjm::program_options options{
        {"mjm_entry", MJM_VERSION, "Entry host: takes callers' requests and owns shards of the fleet."}};
    return mjm::run_program(
        options, mjm::make_entry_schema(), argc, argv,
        [](const mjm::entry_program_settings& settings) { return mjm::run_entry(settings); });
}
