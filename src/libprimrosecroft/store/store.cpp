#include "store/store.h"

namespace primrosecroft
{

const char *toString(store_outcome outcome)
{
    switch (outcome) {
    case store_outcome::done:
        return "done";
    case store_outcome::conflict:
        return "conflict";
    case store_outcome::refused:
        return "refused";
    case store_outcome::lost:
        return "lost";
    }
    return "";
}

} // namespace primrosecroft
