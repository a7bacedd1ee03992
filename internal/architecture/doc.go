// Package architecture holds docs/ARCHITECTURE.md to the code: the functions that its tables name exist, and its map of
// packages has every package, with its imports and in an order in which none imports a higher layer.
package architecture
