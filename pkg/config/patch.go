package config

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	jsonpatch "github.com/evanphx/json-patch/v5"
)

// Media types of patches.
const (
	MergePatchType = "application/merge-patch+json" // RFC 7396
	JSONPatchType  = "application/json-patch+json"  // RFC 6902
)

// UnknownPatchTypeError says that a patch has an unsupported media type.
type UnknownPatchTypeError struct{ MediaType string }

// Error names the media type and the supported ones.
func (e *UnknownPatchTypeError) Error() string {
	return "media type " + e.MediaType + " is not supported; supported: " + MergePatchType + ", " + JSONPatchType
}

// Apply returns the document that results from the patch and does not change c.
// Errors: *UnknownPatchTypeError, *PatchError, *SyntaxError, *InvalidError.
func (c *Config) Apply(mediaType string, patch []byte) (*Config, error) {
	if mediaType == MergePatchType {
		if next, ok, err := c.mergeEntries(patch); ok {
			if err != nil {
				return nil, err
			}
			return next, nil
		}
	}
	return c.applyWhole(mediaType, patch)
}

// applyWhole applies a patch to the JSON form of the whole document.
func (c *Config) applyWhole(mediaType string, patch []byte) (*Config, error) {
	document, err := c.Encode()
	if err != nil {
		return nil, err
	}
	patched, err := applyPatch(document, mediaType, patch)
	if err != nil {
		return nil, err
	}
	return Parse(patched)
}

func applyPatch(document []byte, mediaType string, patch []byte) ([]byte, error) {
	switch mediaType {
	case MergePatchType:
		patched, err := jsonpatch.MergePatch(document, patch)
		return patched, wrapPatch(err)
	case JSONPatchType:
		operations, err := jsonpatch.DecodePatch(patch)
		if err != nil {
			return nil, wrapPatch(err)
		}
		patched, err := operations.Apply(document)
		return patched, wrapPatch(err)
	default:
		return nil, errors.WithStack(&UnknownPatchTypeError{MediaType: mediaType})
	}
}

func wrapPatch(err error) error {
	if err == nil {
		return nil
	}
	return errors.WithStack(&PatchError{Cause: err})
}

// Encode returns the canonical JSON form of the document, with the ids of each
// section sorted.
func (c *Config) Encode() ([]byte, error) {
	data, err := json.Marshal(c)
	if err != nil {
		return nil, errors.WithStack(&SyntaxError{Offset: -1, Cause: err})
	}
	return data, nil
}
