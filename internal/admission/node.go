package admission

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// node is a node of the tree. Inner nodes share among children, leaves hold requests.
type node struct {
	parent   *node
	key      string
	flow     Flow
	leaf     bool
	sequence uint64
	weight   float64
	children []*node
	index    map[string]*node
	// weights is the sum of the weights of active children as of weightsAt. It is zero when
	// it must be computed again.
	weights   float64
	weightsAt time.Time
	queue     requestHeap
	// tag is the start tag of the node's next service among its siblings.
	tag float64
	// clock is the start tag of the last child served.
	clock      float64
	queued     int
	running    int
	lastActive time.Time
}

func (n *node) child(key string) *node { return n.index[key] }

// activeWeights returns the sum of the weights of active children. It is kept for
// weightsPeriod, since the tree has thousands of nodes at the design size.
func (n *node) activeWeights(now time.Time) float64 {
	if n.weights > 0 && now.Sub(n.weightsAt) < weightsPeriod {
		return n.weights
	}
	n.weights, n.weightsAt = 0, now
	for _, c := range n.children {
		if c.active(now) {
			n.weights += c.weight
		}
	}
	return n.weights
}

func (n *node) isLeaf() bool { return n.leaf }

func (n *node) eachLeaf(f func(*node)) {
	if n.isLeaf() {
		f(n)
		return
	}
	for _, c := range n.children {
		c.eachLeaf(f)
	}
}

// leaf finds or makes the leaf of a flow.
func (q *Queue) leaf(now time.Time, f Flow) *node {
	org := q.childOf(q.root, f.Organisation)
	kind := org.child(f.Kind)
	if kind == nil && len(org.children) >= maxKinds {
		f.Kind = otherKind
	}
	kind = q.childOf(org, f.Kind)
	leaf := q.childOf(kind, f.Caller)
	if !leaf.isLeaf() {
		leaf.flow, leaf.leaf = f, true
		q.weigh(leaf)
	}
	for n := leaf; n.parent != nil; n = n.parent {
		if !n.active(now) {
			n.parent.weights = 0
		}
		n.lastActive = now
	}
	return leaf
}

func (q *Queue) childOf(parent *node, key string) *node {
	if c := parent.child(key); c != nil {
		return c
	}
	q.sequence++
	c := &node{parent: parent, key: key, sequence: q.sequence, tag: parent.clock, weight: 1}
	parent.children = append(parent.children, c)
	if parent.index == nil {
		parent.index = make(map[string]*node)
	}
	parent.index[key] = c
	q.weigh(c)
	return c
}

// weigh sets the weight of a node from the policy and the scales.
func (q *Queue) weigh(n *node) {
	n.parent.weights = 0
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

func (q *Queue) reweigh() {
	q.stuck = false
	var walk func(n *node)
	walk = func(n *node) {
		for _, c := range n.children {
			q.weigh(c)
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
			// A node that was idle starts at its parent's clock: it cannot save up service.
			n.tag = max(n.tag, n.parent.clock)
		}
		n.queued++
	}
}

func (n *node) remove(r *Request) {
	heap.Remove(&n.queue, r.index)
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

// start charges the leaf and its ancestors with the expected time in a slot.
func (n *node) start(now time.Time, charge float64) {
	for ; n != nil; n = n.parent {
		n.running++
		n.lastActive = now
		if n.parent != nil {
			n.parent.clock = max(n.parent.clock, n.tag)
			n.tag += charge / n.weight
		}
	}
}

func (n *node) finish(now time.Time, correction float64) {
	for ; n != nil; n = n.parent {
		n.running--
		n.lastActive = now
		if n.parent != nil {
			n.tag += correction / n.weight
		}
	}
}

// choose descends to the backlogged child with the least tag at each level.
func (n *node) choose() *node {
	for !n.isLeaf() {
		var best *node
		for _, c := range n.children {
			if c.queued > 0 && (best == nil || before(c, best) < 0) {
				best = c
			}
		}
		n = best
	}
	return n
}

// chooseWithin is like choose for leaves that are within their share of the given number of
// slots. It returns nil if there is none.
func (n *node) chooseWithin(now time.Time, slots float64) *node {
	if n.isLeaf() {
		if n.within(slots) {
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
	slices.SortFunc(waiting, before)
	for _, c := range waiting {
		if leaf := c.chooseWithin(now, slots*c.weight/weights); leaf != nil {
			return leaf
		}
	}
	return nil
}

// within reports whether a leaf whose share is the given number of slots is within it. With
// many organisations shares are below one slot; then a leaf without a request in progress is
// within its share if its kind of work has no standing queue.
func (n *node) within(slots float64) bool {
	if slots >= 1 {
		return float64(n.running+1) <= slots
	}
	const standingQueue = 2
	return n.running == 0 && n.parent.queued <= standingQueue
}

func before(a, b *node) int {
	return cmp.Or(cmp.Compare(a.tag, b.tag), cmp.Compare(a.sequence, b.sequence))
}

func (n *node) active(now time.Time) bool {
	return n.queued > 0 || n.running > 0 || now.Sub(n.lastActive) < activeWindow
}

// share returns the part of all slots that the node is entitled to.
func (n *node) share(now time.Time) float64 {
	if n.parent == nil {
		return 1
	}
	return n.parent.share(now) * n.weight / max(n.parent.activeWeights(now), n.weight)
}

// pressure is the queue length relative to the share, which eviction evens out.
func (n *node) pressure() float64 { return float64(n.queued) / n.weight }

// mostPressed descends to the child under the most pressure at each level. Ties go to the
// path of the arriving leaf, which is returned if no other leaf should give way to it.
func (q *Queue) mostPressed(arriving *node) *node {
	n := q.root
	for !n.isLeaf() {
		var most *node
		for _, c := range n.children {
			if most == nil || c.pressure() > most.pressure() || c.pressure() == most.pressure() && c.contains(arriving) {
				most = c
			}
		}
		n = most
	}
	return n
}

func (n *node) contains(leaf *node) bool {
	return n == leaf || n == leaf.parent || n == leaf.parent.parent
}

func (n *node) worst() *Request {
	return slices.MaxFunc(n.queue, func(a, b *Request) int { return compareRequests(a, b) })
}

func (n *node) expired(now time.Time) []*Request {
	var expired []*Request
	for _, r := range n.queue {
		if now.After(r.Deadline) {
			expired = append(expired, r)
		}
	}
	return expired
}

// collect forgets an idle leaf, and its ancestors when they become empty. A leaf whose tag
// is ahead of its siblings' clock is kept until activeWindow has passed, so that a caller
// cannot drop its charge by a short pause.
func (q *Queue) collect(now time.Time, n *node) {
	for n.parent != nil {
		idle := n.queued == 0 && n.running == 0 && len(n.children) == 0
		if !idle || now.Sub(n.lastActive) < activeWindow {
			return
		}
		parent := n.parent
		parent.children = slices.DeleteFunc(parent.children, func(c *node) bool { return c == n })
		delete(parent.index, n.key)
		parent.weights = 0
		n = parent
	}
}

// requestHeap orders the requests of one leaf.
type requestHeap []*Request

func compareRequests(a, b *Request) int {
	return cmp.Or(a.rank.Compare(b.rank), cmp.Compare(a.sequence, b.sequence))
}

// Len implements heap.Interface.
func (h requestHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h requestHeap) Less(i, j int) bool { return compareRequests(h[i], h[j]) < 0 }

// Swap implements heap.Interface.
func (h requestHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *requestHeap) Push(x any) {
	r := x.(*Request)
	r.index = len(*h)
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
