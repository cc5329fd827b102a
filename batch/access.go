package batch

// MayAccess reports whether a caller of a workspace may read, end or submit the job again.
func (he Head) MayAccess(workspace string) bool {
	return he.Workspace == "" || he.Workspace == workspace
}
