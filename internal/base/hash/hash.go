// Package hash improves the bit distribution of simple hash values.
//
// # Usage
//
//	w := hash.Mix(fnvSum)
//
// The results are not suitable for cryptography.
package hash

// Mix distributes the bits of a hash value, so that inputs that differ only in
// their last byte get values far apart. It is the finalizer of MurmurHash3, which
// is a bijection: distinct inputs give distinct results.
func Mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
