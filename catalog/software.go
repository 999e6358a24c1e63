package catalog

// SoftwareVersion is the version of the software that an upstream runs, as opposed to
// LoadedModel.Version, which is that of the weights. Versions have no order. A stream
// that one version has begun cannot be continued by another one.
type SoftwareVersion string

// IsKnown reports whether the version is known.
func (v SoftwareVersion) IsKnown() bool { return v != "" }
