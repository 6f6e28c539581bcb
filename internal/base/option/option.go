// Package option provides a type for optional values.
//
// # Usage
//
//	o := option.Some(3)
//	if v, ok := o.Get(); ok { ... }
package option

// Option is an optional value of type T. The zero value is absent.
type Option[T any] struct {
	value T
	ok    bool
}

// Some wraps a present value.
func Some[T any](v T) Option[T] { return Option[T]{value: v, ok: true} }

// None returns an absent value.
func None[T any]() Option[T] { return Option[T]{} }

// Get returns the value, and whether it is present.
func (o Option[T]) Get() (T, bool) { return o.value, o.ok }

// Or returns the value if it is present, or else the given value.
func (o Option[T]) Or(other T) T {
	if o.ok {
		return o.value
	}
	return other
}
