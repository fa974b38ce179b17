package settings

import (
	"fmt"
	"math"
	"sort"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// decodeTable copies a TOML table into a message and returns every problem found.
func decodeTable(table map[string]any, message protoreflect.Message, path string) []Problem {
	var problems []Problem
	fields := message.Descriptor().Fields()
	for _, key := range sortedKeys(table) {
		field := fields.ByName(protoreflect.Name(key))
		if field == nil {
			problems = append(problems, Problem{
				Key:    join(path, key),
				Reason: "unknown key",
				Remedy: "remove it or use one of: " + fieldNames(fields),
			})
			continue
		}
		problems = append(problems, decodeField(table[key], message, field, join(path, key))...)
	}
	return problems
}

func decodeField(value any, message protoreflect.Message, field protoreflect.FieldDescriptor, path string) []Problem {
	if field.IsList() {
		return decodeList(value, message.Mutable(field).List(), field, path)
	}
	if field.Kind() == protoreflect.MessageKind {
		table, ok := value.(map[string]any)
		if !ok {
			return []Problem{{Key: path, Reason: "not a table", Remedy: "write it as [" + path + "]"}}
		}
		return decodeTable(table, message.Mutable(field).Message(), path)
	}
	scalar, problem := decodeScalar(value, field, path)
	if problem != nil {
		return []Problem{*problem}
	}
	message.Set(field, scalar)
	return nil
}

func decodeList(value any, list protoreflect.List, field protoreflect.FieldDescriptor, path string) []Problem {
	items, ok := value.([]any)
	if !ok {
		return []Problem{{Key: path, Reason: "not a list", Remedy: "write a list; tables as [[" + path + "]]"}}
	}
	var problems []Problem
	for i, item := range items {
		itemPath := fmt.Sprintf("%s[%d]", path, i)
		if field.Kind() != protoreflect.MessageKind {
			scalar, problem := decodeScalar(item, field, itemPath)
			if problem != nil {
				problems = append(problems, *problem)
				continue
			}
			list.Append(scalar)
			continue
		}
		table, ok := item.(map[string]any)
		if !ok {
			problems = append(problems, Problem{Key: itemPath, Reason: "not a table", Remedy: "write it as [[" + path + "]]"})
			continue
		}
		problems = append(problems, decodeTable(table, list.AppendMutable().Message(), itemPath)...)
	}
	return problems
}

func decodeScalar(value any, field protoreflect.FieldDescriptor, path string) (protoreflect.Value, *Problem) {
	switch field.Kind() {
	case protoreflect.StringKind:
		if text, ok := value.(string); ok {
			return protoreflect.ValueOfString(text), nil
		}
		return protoreflect.Value{}, &Problem{Key: path, Reason: fmt.Sprintf("%v is not a string", value), Remedy: "write it in quotes"}
	case protoreflect.Uint32Kind:
		if number, ok := value.(int64); ok && number >= 0 && number <= math.MaxUint32 {
			return protoreflect.ValueOfUint32(uint32(number)), nil
		}
	case protoreflect.Int64Kind:
		if number, ok := value.(int64); ok {
			return protoreflect.ValueOfInt64(number), nil
		}
	}
	return protoreflect.Value{}, &Problem{
		Key:    path,
		Reason: fmt.Sprintf("%v is not a whole number", value),
		Remedy: "write " + unitOf(field) + " as a whole number without a unit, not below 0",
	}
}

func sortedKeys(table map[string]any) []string {
	keys := make([]string, 0, len(table))
	for key := range table {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
