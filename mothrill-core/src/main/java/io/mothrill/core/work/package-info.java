/** Statistics of what an instance's event loops spend their time on. */
package io.mothrill.core.work;
