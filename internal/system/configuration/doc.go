// Package configuration holds the operator's configuration: its model, and how it is parsed, validated, changed and
// stored.
//
// A [Document] is made by [ParseAndValidate] from a complete configuration, by [ApplyAndValidate] from a change of single
// items, or by [FromItems] from the stored items. It is immutable, and so are the models that it returns. [Diff] gives
// the writes that bring a stored document to another one; it writes only items that changed.
//
// All problems of a document are reported together, in a *validation.Error whose problems name their paths. Fields that
// this version does not know are kept and written back as they were, so that versions may differ between an operator
// and the machines. Documents share bytes with the input that they were parsed from, which must not be altered.
package configuration
