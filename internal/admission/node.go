package admission

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// node is a node of the tree. Inner nodes divide slots among their children, leaves have queues
// of requests.
type node struct {
	parent     *node
	key        string
	flow       Flow
	leaf       bool
	sequence   uint64
	weight     float64
	children   []*node
	childByKey map[string]*node
	// activeWeightSum is the sum of the weights of active children, computed at weightSumAt.
	// Zero means that it must be computed again.
	activeWeightSum float64
	weightSumAt     time.Time
	queue           requestHeap
	// startTag is the virtual start time of the node's next request. Among siblings, the node
	// with the smallest start tag is served next.
	startTag float64
	// virtualTime is the largest start tag of the children served so far.
	virtualTime float64
	queued      int
	running     int
	lastActive  time.Time
}

func (n *node) child(key string) *node { return n.childByKey[key] }

// activeWeights returns the sum of the weights of active children. It is cached for weightSumTTL,
// since the tree may have several thousand nodes.
func (n *node) activeWeights(now time.Time) float64 {
	if n.activeWeightSum > 0 && now.Sub(n.weightSumAt) < weightSumTTL {
		return n.activeWeightSum
	}
	n.activeWeightSum, n.weightSumAt = 0, now
	for _, c := range n.children {
		if c.active(now) {
			n.activeWeightSum += c.weight
		}
	}
	return n.activeWeightSum
}

func (n *node) isLeaf() bool { return n.leaf }

// eachLeaf calls f for each leaf below n, or for n itself if it is a leaf.
func (n *node) eachLeaf(f func(*node)) {
	if n.isLeaf() {
		f(n)
		return
	}
	for _, c := range n.children {
		c.eachLeaf(f)
	}
}

// leafFor returns the leaf of a flow, which it creates if needed, and marks it and its ancestors
// as active. If the organisation already has maxKinds kinds, a new kind is replaced by otherKind.
func (q *Queue) leafFor(now time.Time, f Flow) *node {
	org := q.childFor(q.root, f.Organisation)
	kind := org.child(f.Kind)
	if kind == nil && len(org.children) >= maxKinds {
		f.Kind = otherKind
	}
	kind = q.childFor(org, f.Kind)
	leaf := q.childFor(kind, f.Caller)
	if !leaf.isLeaf() { // childFor has just created it
		leaf.flow, leaf.leaf = f, true
		q.setWeight(leaf)
	}
	for n := leaf; n.parent != nil; n = n.parent {
		if !n.active(now) {
			n.parent.activeWeightSum = 0
		}
		n.lastActive = now
	}
	return leaf
}

// childFor returns the child of a node with the given key, which it creates if needed.
func (q *Queue) childFor(parent *node, key string) *node {
	if c := parent.child(key); c != nil {
		return c
	}
	q.sequence++
	c := &node{parent: parent, key: key, sequence: q.sequence, startTag: parent.virtualTime, weight: 1}
	parent.children = append(parent.children, c)
	if parent.childByKey == nil {
		parent.childByKey = make(map[string]*node)
	}
	parent.childByKey[key] = c
	q.setWeight(c)
	return c
}

// setWeight sets the weight of a node: that of its organisation, of its kind in the policy, or the
// scale of its flow.
func (q *Queue) setWeight(n *node) {
	n.parent.activeWeightSum = 0
	switch {
	case n.parent == q.root:
		n.weight = weightOr1(q.orgWeights, n.key)
	case n.parent.parent == q.root:
		n.weight = weightOr1(q.policy.KindWeights, n.key)
	default:
		n.weight = weightOr1(q.scales, n.flow)
	}
}

func weightOr1[K comparable](weights map[K]float64, key K) float64 {
	if w := weights[key]; w > 0 {
		return w
	}
	return 1
}

// updateWeights sets the weights of all nodes after a change of policy, weights or scales.
func (q *Queue) updateWeights() {
	q.noneEligible = false
	var walk func(n *node)
	walk = func(n *node) {
		for _, c := range n.children {
			q.setWeight(c)
			walk(c)
		}
	}
	walk(q.root)
}

func (q *Queue) push(leaf *node, r *Request) {
	r.leaf = leaf
	heap.Push(&leaf.queue, r)
	for n := leaf; n != nil; n = n.parent {
		if n.queued == 0 && n.parent != nil {
			// A node that had an empty queue starts at its parent's virtual time at the
			// earliest, so that it gets no credit for the time without queued requests.
			n.startTag = max(n.startTag, n.parent.virtualTime)
		}
		n.queued++
	}
}

func (n *node) remove(r *Request) {
	heap.Remove(&n.queue, r.heapIndex)
	n.addQueued(-1)
}

func (n *node) pop() *Request {
	r := heap.Pop(&n.queue).(*Request)
	n.addQueued(-1)
	return r
}

func (n *node) addQueued(delta int) {
	for ; n != nil; n = n.parent {
		n.queued += delta
	}
}

// start records that a request of the leaf n was dispatched. charge is its expected service time
// in seconds, which is added to the start tags of the leaf and its ancestors.
func (n *node) start(now time.Time, charge float64) {
	for ; n != nil; n = n.parent {
		n.running++
		n.lastActive = now
		if n.parent != nil {
			n.parent.virtualTime = max(n.parent.virtualTime, n.startTag)
			n.startTag += charge / n.weight
		}
	}
}

// finish records that a request of the leaf n ended. correction is the difference in seconds
// between its real and its expected service time.
func (n *node) finish(now time.Time, correction float64) {
	for ; n != nil; n = n.parent {
		n.running--
		n.lastActive = now
		if n.parent != nil {
			n.startTag += correction / n.weight
		}
	}
}

// chooseLeaf descends to the child with the smallest start tag at each level and returns the leaf.
// It considers only nodes with queued requests.
func (n *node) chooseLeaf() *node {
	for !n.isLeaf() {
		var best *node
		for _, c := range n.children {
			if c.queued > 0 && (best == nil || compareNodes(c, best) < 0) {
				best = c
			}
		}
		n = best
	}
	return n
}

// chooseLeafWithinShare is like chooseLeaf, but considers only leaves that are within their share.
// slots is the share of n. It returns nil if there is no such leaf.
func (n *node) chooseLeafWithinShare(now time.Time, slots float64) *node {
	if n.isLeaf() {
		if n.withinShare(slots) {
			return n
		}
		return nil
	}
	var waiting []*node
	weights := n.activeWeights(now)
	for _, c := range n.children {
		if c.queued > 0 {
			waiting = append(waiting, c)
		}
	}
	slices.SortFunc(waiting, compareNodes)
	for _, c := range waiting {
		if leaf := c.chooseLeafWithinShare(now, slots*c.weight/weights); leaf != nil {
			return leaf
		}
	}
	return nil
}

// withinShare reports whether a leaf can start another request without exceeding its share, which
// slots gives as a number of slots. With many organisations, shares are below one slot. A leaf with
// such a share is within it if it has no request in progress and its kind of work has no standing
// queue: more than maxTransientQueue requests count as one.
func (n *node) withinShare(slots float64) bool {
	if slots >= 1 {
		return float64(n.running+1) <= slots
	}
	const maxTransientQueue = 2
	return n.running == 0 && n.parent.queued <= maxTransientQueue
}

// compareNodes orders siblings by start tag, and those with the same tag by age.
func compareNodes(a, b *node) int {
	return cmp.Or(cmp.Compare(a.startTag, b.startTag), cmp.Compare(a.sequence, b.sequence))
}

// active reports whether the node has requests or had one within activeWindow.
func (n *node) active(now time.Time) bool {
	return n.queued > 0 || n.running > 0 || now.Sub(n.lastActive) < activeWindow
}

// share returns the fraction of all slots that is the node's fair share among active nodes. A node
// that is not active is missing from the sum of weights; max bounds its share to that of its parent.
func (n *node) share(now time.Time) float64 {
	if n.parent == nil {
		return 1
	}
	return n.parent.share(now) * n.weight / max(n.parent.activeWeights(now), n.weight)
}

// relativeBacklog returns the queue length relative to the weight. Eviction takes requests from
// the node where it is largest.
func (n *node) relativeBacklog() float64 { return float64(n.queued) / n.weight }

// mostBacklogged descends to the child with the largest relative backlog at each level and returns
// the leaf that it reaches. Between children with equal backlogs it prefers the one on the path to
// leaf, the flow of the arriving request, so that an arrival does not evict a request of a flow with
// an equal backlog.
func (q *Queue) mostBacklogged(leaf *node) *node {
	n := q.root
	for !n.isLeaf() {
		var most *node
		for _, c := range n.children {
			if most == nil || c.relativeBacklog() > most.relativeBacklog() || c.relativeBacklog() == most.relativeBacklog() && c.contains(leaf) {
				most = c
			}
		}
		n = most
	}
	return n
}

// contains reports whether n is the given leaf or one of its ancestors below the root.
func (n *node) contains(leaf *node) bool {
	return n == leaf || n == leaf.parent || n == leaf.parent.parent
}

// lastRequest returns the request of a leaf that would be dispatched last.
func (n *node) lastRequest() *Request {
	return slices.MaxFunc(n.queue, func(a, b *Request) int { return compareRequests(a, b) })
}

// expired returns the queued requests of a leaf whose deadline has passed.
func (n *node) expired(now time.Time) []*Request {
	var expired []*Request
	for _, r := range n.queue {
		if now.After(r.Deadline) {
			expired = append(expired, r)
		}
	}
	return expired
}

// removeIdle removes a leaf without requests, and ancestors that become empty, once activeWindow
// has passed since their last request. Until then the start tag is kept: otherwise a caller could
// get rid of the charge for its past requests by a short pause.
func (q *Queue) removeIdle(now time.Time, n *node) {
	for n.parent != nil {
		idle := n.queued == 0 && n.running == 0 && len(n.children) == 0
		if !idle || now.Sub(n.lastActive) < activeWindow {
			return
		}
		parent := n.parent
		parent.children = slices.DeleteFunc(parent.children, func(c *node) bool { return c == n })
		delete(parent.childByKey, n.key)
		parent.activeWeightSum = 0
		n = parent
	}
}

// requestHeap is the queue of one leaf: a heap of requests ordered by compareRequests.
type requestHeap []*Request

// compareRequests orders requests by arrival time plus urgency delay, then by sequence number.
func compareRequests(a, b *Request) int {
	return cmp.Or(a.effectiveArrival.Compare(b.effectiveArrival), cmp.Compare(a.sequence, b.sequence))
}

// Len implements heap.Interface.
func (h requestHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h requestHeap) Less(i, j int) bool { return compareRequests(h[i], h[j]) < 0 }

// Swap implements heap.Interface.
func (h requestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *requestHeap) Push(x any) {
	r := x.(*Request)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *requestHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
