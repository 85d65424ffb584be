// Types and values of the expression language.
#include "policy/value.h"

namespace lichendrift::policy {

std::string_view type_name(Type type) {
    switch (type) {
        case Type::Number:
            return "number";
        case Type::Boolean:
            return "boolean";
        case Type::String:
            return "string";
        case Type::Duration:
            return "duration";
    }
    return "";
}

}  // namespace lichendrift::policy
