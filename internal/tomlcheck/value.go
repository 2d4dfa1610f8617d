package tomlcheck

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	// Embeds the time zone database for VMs that have none.
	_ "time/tzdata"
)

// Value is a parsed value. The type of the field determines which members are
// set.
type Value struct {
	// Text is the value of strings, names, zones, addresses, URLs and choices.
	Text string
	// List is the value of lists.
	List []string
	// Int is the value of integers, booleans (0 or 1), cores (in thousandths),
	// sizes (in bytes), durations (in nanoseconds) and times of day (in
	// nanoseconds since midnight).
	Int int64
	// Float is the value of numbers.
	Float float64
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// ValidName reports whether s is a valid name of an object: 1 to 63 letters,
// digits, '.', '_' and '-', beginning with a letter or digit. Names become
// parts of rows in the table service and of URLs.
func ValidName(s string) bool {
	return namePattern.MatchString(s)
}

// parse parses the text or, for an array, the list of a value of the field's
// type.
func (f *Field) parse(text string, list []string) (Value, error) {
	v := Value{Text: text, List: list}
	var err error
	switch f.Type {
	case Int:
		v.Int, err = parseInt(text)
	case Number:
		v.Float, err = parseFloat(text)
	case Cores:
		v.Int, err = parseCores(text)
	case Size:
		v.Int, err = ParseSize(text)
	case Duration:
		v.Int, err = parseDuration(text)
	case Bool:
		if text == "true" {
			v.Int = 1
		}
	case TimeOfDay:
		v.Int, err = parseTimeOfDay(text)
	default:
		err = f.checkText(text, list)
	}
	return v, err
}

// checkText checks values of the types that are stored as text or a list.
func (f *Field) checkText(text string, list []string) error {
	switch f.Type {
	case Name:
		return checkName(text)
	case Names:
		return checkEach(list, checkName)
	case Zone:
		return checkZone(text)
	case Address:
		return checkAddress(text)
	case Addresses:
		return checkEach(list, checkAddress)
	case URL:
		return checkURL(text)
	case Choice:
		return f.checkChoice(text)
	default:
		return nil
	}
}

func (f *Field) checkChoice(text string) error {
	if slices.Contains(f.Choices, text) {
		return nil
	}
	return fmt.Errorf("%q is not one of %s", text, strings.Join(f.Choices, ", "))
}

func checkEach(list []string, check func(string) error) error {
	for i, s := range list {
		if err := check(s); err != nil {
			return err
		}
		if slices.Contains(list[:i], s) {
			return fmt.Errorf("%q is listed twice", s)
		}
	}
	return nil
}

func checkName(s string) error {
	if ValidName(s) {
		return nil
	}
	return fmt.Errorf("%q is not a name (1 to 63 letters, digits, '.', '_' and '-', beginning with a letter or digit)", s)
}

func checkZone(s string) error {
	if s == "" || s == "Local" {
		return fmt.Errorf("%q is not a time zone", s)
	}
	if _, err := time.LoadLocation(s); err != nil {
		return fmt.Errorf("%q is not a known time zone", s)
	}
	return nil
}

func checkAddress(s string) error {
	if _, err := netip.ParseAddrPort(s); err != nil {
		return fmt.Errorf("%q is not an IP address with a port (host names are not resolved)", s)
	}
	return nil
}

func checkURL(s string) error {
	u, err := url.Parse(s)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return fmt.Errorf("%q is not an http or https URL", s)
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		return fmt.Errorf("%q does not name its host by IP address (host names are not resolved)", s)
	}
	if u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		return fmt.Errorf("%q has a user, a query or a fragment, which are not used", s)
	}
	return nil
}

func parseInt(text string) (int64, error) {
	// Base 0 accepts the prefixes 0x, 0o and 0b of TOML.
	n, err := strconv.ParseInt(strings.ReplaceAll(text, "_", ""), 0, 64)
	if err != nil {
		return 0, fmt.Errorf("%s is not a 64-bit integer", text)
	}
	return n, nil
}

func parseFloat(text string) (float64, error) {
	x, err := strconv.ParseFloat(strings.ReplaceAll(text, "_", ""), 64)
	if err != nil || math.IsInf(x, 0) || math.IsNaN(x) {
		return 0, fmt.Errorf("%s is not a finite number", text)
	}
	return x, nil
}

// maxCores keeps the sum over a whole inventory, in thousandths of a core, within
// 64 bits.
const maxCores = 1 << 30

func parseCores(text string) (int64, error) {
	x, err := parseFloat(text)
	if err != nil {
		return 0, err
	}
	milli := math.Round(x * 1000)
	if math.Abs(x*1000-milli) > 1e-6 {
		return 0, fmt.Errorf("%s cores is not a multiple of 0.001", text)
	}
	if math.Abs(x) > maxCores {
		return 0, fmt.Errorf("%s cores is more than the supported maximum", text)
	}
	return int64(milli), nil
}

// sizeUnits maps upper-case units to bytes. Decimal units (KB) are powers of 1000,
// binary units (KiB) are powers of 1024.
var sizeUnits = map[string]int64{
	"B": 1, "KB": 1e3, "MB": 1e6, "GB": 1e9, "TB": 1e12,
	"KIB": 1 << 10, "MIB": 1 << 20, "GIB": 1 << 30, "TIB": 1 << 40,
}

// ParseSize parses a size such as "60GB", "1.5 GiB" or "512MB" and returns the
// number of bytes. The unit is case-insensitive. A fraction of a byte is rounded.
// Sizes above 2^60 bytes are an error.
func ParseSize(text string) (int64, error) {
	i := strings.LastIndexAny(text, "0123456789.") + 1
	number := strings.TrimSpace(text[:i])
	unit := strings.TrimSpace(text[i:])
	scale, ok := sizeUnits[strings.ToUpper(unit)]
	if !ok {
		if unit == "" {
			return 0, fmt.Errorf("%q has no unit", text)
		}
		return 0, fmt.Errorf("%q has the unknown unit %q (known: B, KB, MB, GB, TB, KiB, MiB, GiB, TiB)", text, unit)
	}
	x, err := strconv.ParseFloat(number, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is not a size", text)
	}
	bytes := x * float64(scale)
	if math.IsNaN(bytes) || math.Abs(bytes) > 1<<60 {
		return 0, fmt.Errorf("%q is out of range", text)
	}
	return int64(math.Round(bytes)), nil
}

func parseDuration(text string) (int64, error) {
	d, err := time.ParseDuration(text)
	if err == nil {
		return int64(d), nil
	}
	if _, numErr := strconv.ParseFloat(text, 64); numErr == nil {
		return 0, fmt.Errorf("%q has no unit (known: us, ms, s, m, h)", text)
	}
	return 0, fmt.Errorf("%q is not a duration (units: us, ms, s, m, h)", text)
}

func parseTimeOfDay(text string) (int64, error) {
	t, err := time.Parse("15:04", text)
	if err != nil {
		return 0, fmt.Errorf("%q is not a time of day from 00:00 to 23:59", text)
	}
	at := time.Duration(t.Hour())*time.Hour + time.Duration(t.Minute())*time.Minute
	return int64(at), nil
}

var errRange = errors.New("out of range")

// checkRange returns errRange if a value is outside the limits of the field. It
// also fails if the schema's own limits are invalid.
func (f *Field) checkRange(v Value) error {
	for _, limit := range []struct {
		text string
		sign int
	}{{f.Min, -1}, {f.Max, 1}} {
		if limit.text == "" {
			continue
		}
		l, err := f.parse(limit.text, nil)
		if err != nil {
			return err
		}
		if compareValues(v, l) == limit.sign {
			return errRange
		}
	}
	return nil
}

func compareValues(a, b Value) int {
	// Only one of Int and Float is set, depending on the type; the other is zero
	// in both values.
	switch {
	case a.Int < b.Int || a.Float < b.Float:
		return -1
	case a.Int > b.Int || a.Float > b.Float:
		return 1
	default:
		return 0
	}
}
