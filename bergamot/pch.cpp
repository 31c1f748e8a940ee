// The target of the precompiled header needs a source file.
