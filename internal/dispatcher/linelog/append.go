package linelog

import (
	"encoding/json"
	"strconv"
	"unicode/utf8"
)

// AppendFixed appends a number with a fixed number of decimals.
func AppendFixed(b []byte, v float64, digits int) []byte {
	return strconv.AppendFloat(b, v, 'f', digits, 64)
}

// AppendString appends a JSON string; invalid UTF-8 is replaced.
func AppendString(b []byte, s string) []byte {
	for i := 0; i < len(s); i++ {
		if c := s[i]; c < ' ' || c == '"' || c == '\\' || c >= utf8.RuneSelf {
			text, _ := json.Marshal(s)
			return append(b, text...)
		}
	}
	return append(append(append(b, '"'), s...), '"')
}
