package standin

import _ "github.com/oleanderbend/oleanderbend/internal/fixedseed"
