/** What an instance does that gets more than its link carries while its neighbours do not. */
package io.mothrill.core.forward.overload;
