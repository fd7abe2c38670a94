package standin

// The import gives property tests a fixed default seed.
import _ "github.com/oleanderbend/oleanderbend/internal/fixedseed"
