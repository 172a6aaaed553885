// Plays one case: stage CASE RECORD RUN_COMMAND. Exit code 0: the rule held, 1: it was broken, 2: the case
// could not run.

#include <exception>
#include <iostream>

#include "cases.hpp"

int main(int argc, char** argv) {
    if (argc != 4) return 2;
    const auto found = review::cases().find(argv[1]);
    if (found == review::cases().end()) return 2;
    try {
        return found->second(argv[2], argv[3])->play();
    } catch (const std::exception& e) {
        std::cerr << "could not run: " << e.what() << std::endl;
        return 2;
    }
}
