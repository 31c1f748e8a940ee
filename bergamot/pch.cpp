// The precompiled header needs one source to be built with.
